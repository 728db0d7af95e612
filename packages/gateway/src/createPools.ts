import type * as configuration from '@comfreydrum/configuration';
import * as routing from '@comfreydrum/routing';
import type { CacheEventPoller } from './createCacheEventPoller';
import type { ServiceGenerations } from './createServiceGenerations';
import { createSlotPool } from './createSlotPool';
import type { TokenTargets } from './createLimiters';
import type { GatewayDependencies } from './GatewayDependencies';
import type { Candidate, SlotPool } from './SlotPool';

/** The slot pools by model and by service. */
export interface Pools {
  /** The token targets are those of the route that first requests the pool. */
  readonly model: (teamName: string, model: configuration.Model, targets: TokenTargets) => SlotPool;
  readonly service: (teamName: string, service: configuration.Service) => SlotPool;
}

/** The round-trip time to another failure domain. */
const crossDomainRttMs = 8;
const modelSlotMsPerToken = 25;
/** Admission counts a service request as one token. */
const serviceSlotMs = 50;
const serviceTargets = { firstTokenMs: 1_100, betweenTokensMs: 1_100 } as const;

const findOrCreate = (pools: Map<string, SlotPool>, key: string, create: () => SlotPool) => {
  const found = pools.get(key);
  if (found !== undefined) return found;
  const created = create();
  pools.set(key, created);
  return created;
};

/** Creates the pools of a gateway. Each pool is created on first use. */
export const createPools = (
  dependencies: GatewayDependencies,
  cacheEventPoller: CacheEventPoller,
  generations: ServiceGenerations,
): Pools => {
  const pools = new Map<string, SlotPool>();
  const { clock, groups, services, hasher } = dependencies;
  const random = routing.createRandom(dependencies.randomSeed);

  const domainCost: routing.DomainCost = (failureDomain) =>
    failureDomain === dependencies.failureDomain ? 0 : crossDomainRttMs;

  const shareOf = (maxConcurrent: number) =>
    routing.concurrencyPerDaemon(maxConcurrent, dependencies.link.liveIds().length);

  const createRouter = () =>
    routing.createRouter({
      strategy: new routing.PredictedFirstTokenStrategy(domainCost),
      random,
    });

  const groupCandidates = (teamName: string, modelName: string): readonly Candidate[] =>
    groups.serving(teamName, modelName).flatMap((group) => {
      const leader = group.members.find(({ rank }) => rank === 0);
      if (leader === undefined) return [];
      return [
        {
          id: group.groupId,
          url: leader.url,
          failureDomain: leader.failureDomain,
          maxConcurrent: group.maxConcurrent,
          generation: group.generation,
          modelVersion: group.modelVersion,
          adapters: group.adapters,
        },
      ];
    });

  const serviceCandidates = (
    teamName: string,
    service: configuration.Service,
  ): readonly Candidate[] =>
    services.targets(teamName, service.name).map(({ instanceId, url, failureDomain }) => ({
      id: instanceId,
      url,
      failureDomain,
      maxConcurrent: service.maxConcurrentPerTarget,
      generation: generations.of(instanceId),
    }));

  return {
    model: (teamName, model, targets) =>
      findOrCreate(pools, `model/${teamName}/${model.name}`, () => {
        const candidates = () => groupCandidates(teamName, model.name);
        return createSlotPool({
          name: `model ${model.name}`,
          clock,
          candidates,
          router: cacheEventPoller.trackDispatches(createRouter(), candidates),
          hasher,
          targets,
          slotMsPerToken: modelSlotMsPerToken,
          shareOf,
        });
      }),
    service: (teamName, service) =>
      findOrCreate(pools, `service/${teamName}/${service.name}`, () =>
        createSlotPool({
          name: `service ${service.name}`,
          clock,
          candidates: () => serviceCandidates(teamName, service),
          router: createRouter(),
          hasher,
          targets: serviceTargets,
          slotMsPerToken: serviceSlotMs,
          shareOf,
        }),
      ),
  };
};
