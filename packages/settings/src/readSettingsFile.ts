import { readFile } from 'node:fs/promises';
import * as errors from '@comfreydrum/errors';

/**
 * Why settings were rejected; the message has one line per issue, with the file, the path and the
 * expected value.
 */
export type SettingsFailure = errors.Failure<'settings-unreadable' | 'settings-invalid'>;

/** Creates a failed result for a settings file. */
export const failSettings = (
  file: string,
  kind: SettingsFailure['kind'],
  message: string,
): { readonly ok: false; readonly error: SettingsFailure } =>
  errors.err<SettingsFailure>({ kind, step: 'load settings', peer: file, message });

/** Reads a settings file as JSON, without validation. */
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
