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

/**
 * Returns the field of `record` that matches `name` regardless of case, since environment variables
 * are often written in upper case; returns `name` itself if there is none.
 */
const findField = (record: Readonly<Record<string, unknown>>, name: string): string =>
  Object.keys(record).find((field) => field.toLowerCase() === name.toLowerCase()) ?? name;

const setPath = (document: unknown, path: readonly string[], value: unknown): unknown => {
  const [name, ...rest] = path;
  if (name === undefined) return value;
  const record = isRecord(document) ? document : {};
  const field = findField(record, name);
  return { ...record, [field]: setPath(record[field], rest, value) };
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
        setPath(merged, name.slice(overridePrefix.length).split('__'), parseOverride(value!)),
      document,
    );

/** Returns one line for each listener whose certificate or key is unusable. */
const findTlsIssues = ({ gateway, admin }: Settings): readonly string[] =>
  Object.entries({ gateway, admin }).flatMap(([listener, { tls }]) => {
    const material = tls && readTls(tls);
    return !material || material.ok
      ? []
      : [`.${listener}.tls.${material.error.field}: ${material.error.message}`];
  });

/** Returns one line for each invalid token file. */
const findTokenFileIssues = ({ peers }: Settings): readonly string[] => {
  const tokens = readTokens(peers.tokenFiles);
  if (tokens.ok) return [];
  return tokens.error.issues.map(({ index, message }) => `.peers.tokenFiles[${index}]: ${message}`);
};

/**
 * Reads a settings file, applies overrides from `COMFREYDRUM_<path>` environment variables, and
 * validates the result together with the TLS and token files that it names. In a variable name, `__`
 * separates the fields of the path, as in `COMFREYDRUM_log__level=debug`. The variable `fileVariable`
 * holds the path of the settings file and is not treated as an override.
 */
export const loadSettings = async (
  file: string,
  environment: NodeJS.ProcessEnv = process.env,
  fileVariable?: string,
): Promise<errors.Result<Settings, SettingsFailure>> => {
  const document = await readSettingsFile(file);
  if (!document.ok) return document;

  const parsed = settingsSchema.safeParse(
    applyEnvironment(document.value, environment, fileVariable),
  );
  const issues = parsed.success
    ? [...findTlsIssues(parsed.data), ...findTokenFileIssues(parsed.data)]
    : errors.describeIssues(parsed.error.issues);
  if (parsed.success && issues.length === 0) return errors.ok(parsed.data);
  return failSettings(file, 'settings-invalid', issues.map((line) => `${file} ${line}`).join('\n'));
};
