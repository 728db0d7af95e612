import * as errors from '@comfreydrum/errors';
import { configurationSchema, type Configuration } from './configurationSchema';

/** Why a configuration is invalid; the message has one line per validation error. */
export type ConfigurationFailure = errors.Failure<'configuration-invalid'>;

interface Named {
  readonly name: string;
}

const findDuplicates = (section: string, items: readonly Named[]): readonly string[] => {
  const names = items.map(({ name }) => name);
  const duplicates = new Set(names.filter((name, index) => names.indexOf(name) !== index));
  return [...duplicates].map((name) => `.${section}: name "${name}" is used more than once`);
};

const findMissingReferences = (
  path: string,
  section: string,
  items: readonly Named[],
  names: readonly string[],
): readonly string[] =>
  names
    .filter((name) => !items.some((item) => item.name === name))
    .map((name) => `${path}: "${name}" does not exist in .${section}`);

const findModelErrors = (configuration: Configuration): readonly string[] =>
  configuration.models.flatMap((model, index) => [
    ...findMissingReferences(
      `.models[${index}].targetKind`,
      'targetKinds',
      configuration.targetKinds,
      [model.targetKind],
    ),
    ...findMissingReferences(
      `.models[${index}].failureDomains`,
      'failureDomains',
      configuration.failureDomains,
      model.failureDomains,
    ),
  ]);

const findRouteErrors = (configuration: Configuration): readonly string[] =>
  configuration.routes.flatMap((route, index) => {
    if (route.kind === 'model') return [];
    const path = `.routes[${index}]`;
    const missing = findMissingReferences(`${path}.service`, 'services', configuration.services, [
      route.service,
    ]);
    const lacksIdempotency = !route.idempotent && route.idempotency === undefined;
    return lacksIdempotency
      ? [...missing, `${path}.idempotency: required because .idempotent is false`]
      : missing;
  });

const findSharedTokens = (configuration: Configuration): readonly string[] => {
  const tokens = configuration.customers.flatMap(({ tokensSha256 }) => tokensSha256);
  return new Set(tokens).size === tokens.length
    ? []
    : ['.customers: one token digest belongs to two customers'];
};

const findErrors = (configuration: Configuration): readonly string[] => [
  ...findDuplicates('failureDomains', configuration.failureDomains),
  ...findDuplicates('targetKinds', configuration.targetKinds),
  ...findDuplicates('models', configuration.models),
  ...findDuplicates('services', configuration.services),
  ...findDuplicates('customers', configuration.customers),
  ...findDuplicates('routes', configuration.routes),
  ...findModelErrors(configuration),
  ...configuration.services.flatMap((service, index) =>
    findMissingReferences(
      `.services[${index}].targetKind`,
      'targetKinds',
      configuration.targetKinds,
      [service.targetKind],
    ),
  ),
  ...findRouteErrors(configuration),
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
  const validationErrors = findErrors(checked.data);
  return validationErrors.length > 0 ? fail(validationErrors) : errors.ok(checked.data);
};
