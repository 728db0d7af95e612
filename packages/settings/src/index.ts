export { ledgerSettingsSchema, type LedgerSettings } from './ledgerSettingsSchema';
export { loadRelaySettings } from './loadRelaySettings';
export { loadSettings } from './loadSettings';
export type { SettingsFailure } from './readSettingsFile';
export { readTls, type TlsFailure, type TlsFiles, type TlsMaterial } from './readTls';
export { readTokens, type TokenFailure, type TokenFileIssue } from './readTokens';
export { relaySettingsSchema, type RelaySettings } from './relaySettingsSchema';
export { settingsSchema, type Settings } from './settingsSchema';
