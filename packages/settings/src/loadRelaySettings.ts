import * as errors from '@comfreydrum/errors';
import { failSettings, readSettingsFile, type SettingsFailure } from './readSettingsFile';
import { relaySettingsSchema, type RelaySettings } from './relaySettingsSchema';

/** Reads and checks the settings of a relay daemon. */
export const loadRelaySettings = async (
  file: string,
): Promise<errors.Result<RelaySettings, SettingsFailure>> => {
  const read = await readSettingsFile(file);
  if (!read.ok) return read;
  const checked = relaySettingsSchema.safeParse(read.value);
  if (checked.success) return errors.ok(checked.data);
  const lines = errors.describeIssues(checked.error.issues).map((line) => `${file} ${line}`);
  return failSettings(file, 'settings-invalid', lines.join('\n'));
};
