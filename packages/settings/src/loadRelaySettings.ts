import * as errors from '@comfreydrum/errors';
import { failSettings, readSettingsFile, type SettingsFailure } from './readSettingsFile';
import { relaySettingsSchema, type RelaySettings } from './relaySettingsSchema';

/** Reads and validates the settings file of a relay daemon. */
export const loadRelaySettings = async (
  file: string,
): Promise<errors.Result<RelaySettings, SettingsFailure>> => {
  const document = await readSettingsFile(file);
  if (!document.ok) return document;
  const parsed = relaySettingsSchema.safeParse(document.value);
  if (parsed.success) return errors.ok(parsed.data);
  const lines = errors.describeIssues(parsed.error.issues).map((line) => `${file} ${line}`);
  return failSettings(file, 'settings-invalid', lines.join('\n'));
};
