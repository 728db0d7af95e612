import type * as clock from '@comfreydrum/clock';
import type * as configuration from '@comfreydrum/configuration';
import type * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import type { FabricDomainRecord } from '../FabricDomainRecord';
import { createLoadQueue } from './createLoadQueue';
import { orderLoads, type Load } from './orderLoads';
import { claimSlots, type SlotClaimOutcome } from './claimSlots';

/** Limits which planned groups may load, so that each team's weight store is not overloaded. */
export interface LoadSlots {
  /** Claims slots for the planned groups of a fabric domain that are next to load. */
  readonly claim: (fabricDomain: string) => Promise<void>;
  /** Reports whether a planned group may be ordered to load. */
  readonly mayLoad: (record: FabricDomainRecord, groupId: string) => boolean;
}

/** Dependencies of the load slots. */
export interface LoadSlotsOptions {
  readonly clock: clock.Clock;
  readonly log: telemetry.Log;
  readonly platform: objectStore.PlatformClient;
  readonly configuration: Pick<configuration.ConfigurationStore, 'current'>;
  /** Returns the records of all fabric domains. */
  readonly records: () => ReadonlyMap<string, FabricDomainRecord>;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
}

const retryDelayMs = 500;
const retryJitterMs = 500;

/** Creates the load slots of this daemon, which holds none at first. */
export const createLoadSlots = (options: LoadSlotsOptions): LoadSlots => {
  const { clock, log, records } = options;
  const queue = createLoadQueue(clock);
  /** Loads of planned groups that hold a slot, by group id. */
  const held = new Map<string, Load>();
  const retryAtMs = new Map<string, number>();

  const limitedConfigurations = () =>
    options.configuration
      .current()
      .filter(({ weightStoreBytesPerSecond }) => weightStoreBytesPerSecond !== undefined);

  const isHeld = ({ groupId, generation }: Pick<Load, 'groupId' | 'generation'>) =>
    held.get(groupId)?.generation === generation;

  const removeStarted = (fabricDomain: string) =>
    [...held.values()]
      .filter((load) => load.fabricDomain === fabricDomain)
      .filter(({ groupId }) => records().get(fabricDomain)?.groups[groupId]?.phase !== 'planned')
      .forEach(({ groupId }) => held.delete(groupId));

  const hasWaitingGroup = (team: string, fabricDomain: string): boolean =>
    Object.entries(records().get(fabricDomain)?.groups ?? {}).some(
      ([groupId, group]) =>
        group.team === team &&
        group.phase === 'planned' &&
        !isHeld({ groupId, generation: group.generation }),
    );

  const recordOutcome = (team: string, fabricDomain: string, outcome: SlotClaimOutcome) => {
    outcome.granted.forEach((load) => held.set(load.groupId, load));
    if (outcome.kind === 'settled') return;
    log.info({ step: 'claim load slot', peer: fabricDomain, outcome: outcome.kind });
    retryAtMs.set(team, clock.monotonicMs() + retryDelayMs + options.random() * retryJitterMs);
  };

  const claimForTeam = async (document: configuration.Configuration, fabricDomain: string) => {
    const { team, weightStoreBytesPerSecond: storeBytesPerSecond = Infinity } = document;
    if (!hasWaitingGroup(team, fabricDomain)) return;
    const loads = orderLoads(records(), document);
    const wanted = queue
      .nextLoads(team, loads, storeBytesPerSecond)
      .filter((load) => load.fabricDomain === fabricDomain && !isHeld(load));
    if (wanted.length === 0 || clock.monotonicMs() < (retryAtMs.get(team) ?? 0)) return;
    const outcome = await claimSlots({
      platform: options.platform,
      records: records(),
      team,
      storeBytesPerSecond,
      loading: loads.loading,
      wanted,
    });
    recordOutcome(team, fabricDomain, outcome);
  };

  return {
    claim: async (fabricDomain) => {
      removeStarted(fabricDomain);
      for (const document of limitedConfigurations()) await claimForTeam(document, fabricDomain);
    },
    mayLoad: (record, groupId) => {
      const { team, generation } = record.groups[groupId]!;
      const isLimited = limitedConfigurations().some((document) => document.team === team);
      return !isLimited || isHeld({ groupId, generation });
    },
  };
};
