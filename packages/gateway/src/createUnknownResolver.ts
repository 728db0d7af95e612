import type * as configuration from '@comfreydrum/configuration';
import type * as groups from '@comfreydrum/groups';
import type * as ledger from '@comfreydrum/ledger';
import * as targetClient from '@comfreydrum/target-client';

const lookupTimeoutMs = 1_000;
const maxResponseBytes = 1_048_576;

type LookupOutcome = 'ran' | 'not-run' | 'unknown';

interface Lookup {
  readonly service: configuration.Service;
  readonly targetKind: configuration.TargetKind | undefined;
  readonly lookupPath: string | undefined;
}

/** Options of the resolver of unknown outcomes. */
export interface UnknownResolverOptions {
  readonly configuration: configuration.ConfigurationStore;
  readonly services: groups.ServiceDirectory;
  readonly localAddress?: string | undefined;
}

const findLookup = (
  store: configuration.ConfigurationStore,
  request: ledger.ClaimRequest,
): Lookup | undefined => {
  const team = store.current().find((candidate) => candidate.team === request.team);
  const route = team?.routes.find(({ name }) => name === request.routeName);
  if (team === undefined || route?.kind !== 'service') return undefined;
  const service = team.services.find(({ name }) => name === route.service);
  if (service === undefined) return undefined;
  return {
    service,
    targetKind: team.targetKinds.find(({ name }) => name === service.targetKind),
    lookupPath: route.idempotency?.lookupPath,
  };
};

const combine = (outcomes: readonly LookupOutcome[]): LookupOutcome => {
  if (outcomes.includes('ran')) return 'ran';
  const allNotRun = outcomes.length > 0 && outcomes.every((outcome) => outcome === 'not-run');
  return allNotRun ? 'not-run' : 'unknown';
};

/**
 * Creates a resolver that queries the targets of a service whether the request with a key ran. It ran if any
 * target reports that it did; it did not run only if every target reports that it did not.
 */
export const createUnknownResolver = (options: UnknownResolverOptions): ledger.ResolveUnknown => {
  const client = targetClient.createTargetClient(options.localAddress);

  const fetchOutcome = async (url: string, path: string): Promise<LookupOutcome> => {
    const signal = AbortSignal.timeout(lookupTimeoutMs);
    const sent = await client.send({ url, path, method: 'GET', headers: {}, body: null, signal });
    if (!sent.ok) return 'unknown';
    const read = await targetClient.readWholeBody(sent.value.body, url, maxResponseBytes);
    if (!read.ok) return 'unknown';
    if (sent.value.statusCode === 200) return 'ran';
    return sent.value.statusCode === 404 ? 'not-run' : 'unknown';
  };

  return async (request) => {
    const lookup = findLookup(options.configuration, request);
    if (lookup === undefined) return 'unknown';
    if (lookup.targetKind?.honoursIdempotencyKey === true) return 'key-honoured';
    if (lookup.lookupPath === undefined) return 'unknown';
    const path = lookup.lookupPath.replace('{key}', encodeURIComponent(request.key));
    const targets = options.services.targets(request.team, lookup.service.name);
    return combine(await Promise.all(targets.map(({ url }) => fetchOutcome(url, path))));
  };
};
