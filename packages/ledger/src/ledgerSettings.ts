export { ledgerSettingsSchema, type LedgerSettings } from '@comfreydrum/settings';
