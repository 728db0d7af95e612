import * as errors from '@comfreydrum/errors';
import { configurationSchema, type Configuration } from './configurationSchema';

/** Why a configuration is invalid; the message has one line per validation error. */
export type ConfigurationFailure = errors.Failure<'configuration-invalid'>;

interface Named {
  readonly name: string;
}

const findRepeated = (section: string, items: readonly Named[]): readonly string[] => {
  const names = items.map(({ name }) => name);
  const repeated = new Set(names.filter((name, index) => names.indexOf(name) !== index));
  return [...repeated].map((name) => `.${section}: name "${name}" is used more than once`);
};

const findMissing = (
  path: string,
  section: string,
  items: readonly Named[],
  names: readonly string[],
): readonly string[] =>
  names
    .filter((name) => !items.some((item) => item.name === name))
    .map((name) => `${path}: "${name}" does not exist in .${section}`);

const findModelFaults = (configuration: Configuration): readonly string[] =>
  configuration.models.flatMap((model, index) => [
    ...findMissing(`.models[${index}].targetKind`, 'targetKinds', configuration.targetKinds, [
      model.targetKind,
    ]),
    ...findMissing(
      `.models[${index}].failureDomains`,
      'failureDomains',
      configuration.failureDomains,
      model.failureDomains,
    ),
  ]);

const findRouteFaults = (configuration: Configuration): readonly string[] =>
  configuration.routes.flatMap((route, index) => {
    if (route.kind === 'model') return [];
    const path = `.routes[${index}]`;
    const missing = findMissing(`${path}.service`, 'services', configuration.services, [
      route.service,
    ]);
    const unkeyed = !route.idempotent && route.idempotency === undefined;
    return unkeyed
      ? [...missing, `${path}.idempotency: required because .idempotent is false`]
      : missing;
  });

const findSharedTokens = (configuration: Configuration): readonly string[] => {
  const tokens = configuration.customers.flatMap(({ tokensSha256 }) => tokensSha256);
  return new Set(tokens).size === tokens.length
    ? []
    : ['.customers: one token digest belongs to two customers'];
};

const findFaults = (configuration: Configuration): readonly string[] => [
  ...findRepeated('failureDomains', configuration.failureDomains),
  ...findRepeated('targetKinds', configuration.targetKinds),
  ...findRepeated('models', configuration.models),
  ...findRepeated('services', configuration.services),
  ...findRepeated('customers', configuration.customers),
  ...findRepeated('routes', configuration.routes),
  ...findModelFaults(configuration),
  ...configuration.services.flatMap((service, index) =>
    findMissing(`.services[${index}].targetKind`, 'targetKinds', configuration.targetKinds, [
      service.targetKind,
    ]),
  ),
  ...findRouteFaults(configuration),
  ...findSharedTokens(configuration),
];

/** Validates a document against the schema and checks that every name it refers to exists. */
export const checkConfiguration = (
  document: unknown,
  source: string,
): errors.Result<Configuration, ConfigurationFailure> => {
  const fail = (lines: readonly string[]) =>
    errors.err<ConfigurationFailure>({
      kind: 'configuration-invalid',
      step: 'check configuration',
      peer: source,
      message: lines.map((line) => `${source} ${line}`).join('\n'),
    });
  const checked = configurationSchema.safeParse(document);
  if (!checked.success) return fail(errors.describeIssues(checked.error.issues));
  const faults = findFaults(checked.data);
  return faults.length > 0 ? fail(faults) : errors.ok(checked.data);
};
