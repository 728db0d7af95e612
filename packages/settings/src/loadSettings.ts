import * as errors from '@comfreydrum/errors';
import { failSettings, readSettingsFile, type SettingsFailure } from './readSettingsFile';
import { readTls } from './readTls';
import { readTokens } from './readTokens';
import { settingsSchema, type Settings } from './settingsSchema';

const overridePrefix = 'COMFREYDRUM_';

const parseOverride = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
};

const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Finds the field an environment name means; names there are often all upper case. */
const findField = (record: Readonly<Record<string, unknown>>, name: string): string =>
  Object.keys(record).find((field) => field.toLowerCase() === name.toLowerCase()) ?? name;

const withOverride = (document: unknown, path: readonly string[], value: unknown): unknown => {
  const [name, ...rest] = path;
  if (name === undefined) return value;
  const record = isRecord(document) ? document : {};
  const field = findField(record, name);
  return { ...record, [field]: withOverride(record[field], rest, value) };
};

const applyEnvironment = (
  document: unknown,
  environment: NodeJS.ProcessEnv,
  fileVariable: string | undefined,
): unknown =>
  Object.entries(environment)
    .filter(
      ([name, value]) =>
        name.startsWith(overridePrefix) && name !== fileVariable && value !== undefined,
    )
    .reduce(
      (merged, [name, value]) =>
        withOverride(merged, name.slice(overridePrefix.length).split('__'), parseOverride(value!)),
      document,
    );

/** Gives one line for each listener whose certificate or key can't be used. */
const findTlsFaults = ({ gateway, admin }: Settings): readonly string[] =>
  Object.entries({ gateway, admin }).flatMap(([listener, { tls }]) => {
    const read = tls && readTls(tls);
    return !read || read.ok ? [] : [`.${listener}.tls.${read.error.field}: ${read.error.message}`];
  });

/** Gives one line for each token file that holds no token. */
const findTokenFaults = ({ peers }: Settings): readonly string[] => {
  const read = readTokens(peers.tokenFiles);
  if (read.ok) return [];
  return read.error.faults.map(({ index, message }) => `.peers.tokenFiles[${index}]: ${message}`);
};

/**
 * Reads a settings file, lays `COMFREYDRUM_<path>` variables over it and checks the whole with the
 * files of TLS and tokens that it names; `__` separates the names of a path, as in `COMFREYDRUM_log__level=debug`.
 * The variable `fileVariable` names the file itself and overrides nothing.
 */
export const loadSettings = async (
  file: string,
  environment: NodeJS.ProcessEnv = process.env,
  fileVariable?: string,
): Promise<errors.Result<Settings, SettingsFailure>> => {
  const read = await readSettingsFile(file);
  if (!read.ok) return read;

  const checked = settingsSchema.safeParse(applyEnvironment(read.value, environment, fileVariable));
  const faults = checked.success
    ? [...findTlsFaults(checked.data), ...findTokenFaults(checked.data)]
    : errors.describeIssues(checked.error.issues);
  if (checked.success && faults.length === 0) return errors.ok(checked.data);
  return failSettings(file, 'settings-invalid', faults.map((line) => `${file} ${line}`).join('\n'));
};
