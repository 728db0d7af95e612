import { readFile } from 'node:fs/promises';
import * as errors from '@comfreydrum/errors';

/** Why settings were refused; the message has a line for each fault with file, path and expectation. */
export type SettingsFailure = errors.Failure<'settings-unreadable' | 'settings-invalid'>;

/** Makes the failure of a settings file. */
export const failSettings = (
  file: string,
  kind: SettingsFailure['kind'],
  message: string,
): { readonly ok: false; readonly error: SettingsFailure } =>
  errors.err<SettingsFailure>({ kind, step: 'load settings', peer: file, message });

/** Reads a settings file as JSON, unchecked. */
export const readSettingsFile = async (
  file: string,
): Promise<errors.Result<unknown, SettingsFailure>> => {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (cause) {
    return failSettings(file, 'settings-unreadable', `${file}: ${errors.describeCause(cause)}`);
  }
  try {
    return errors.ok(JSON.parse(text) as unknown);
  } catch (cause) {
    const message = `${file}: not JSON: ${errors.describeCause(cause)}`;
    return failSettings(file, 'settings-invalid', message);
  }
};
