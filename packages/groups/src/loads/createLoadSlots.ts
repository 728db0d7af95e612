import type * as clock from '@comfreydrum/clock';
import type * as configuration from '@comfreydrum/configuration';
import type * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import type { FabricDomainRecord } from '../FabricDomainRecord';
import { createTurns } from './createTurns';
import { orderLoads, type Load } from './orderLoads';
import { claimSlots, type ClaimOutcome } from './claimSlots';

/** Which planned groups may load, so that each team's weight store is not asked for too much. */
export interface LoadSlots {
  /** Claims slots for planned groups of a fabric domain whose turn it is. */
  readonly claim: (fabricDomain: string) => Promise<void>;
  /** Whether a planned group may be ordered to load. */
  readonly mayLoad: (record: FabricDomainRecord, groupId: string) => boolean;
}

/** What the slots are decided from. */
export interface LoadSlotsOptions {
  readonly clock: clock.Clock;
  readonly log: telemetry.Log;
  readonly platform: objectStore.PlatformClient;
  readonly configuration: Pick<configuration.ConfigurationStore, 'current'>;
  /** Gives the records of all fabric domains. */
  readonly records: () => ReadonlyMap<string, FabricDomainRecord>;
  /** Gives a number from 0 up to 1. */
  readonly random: () => number;
}

const retryAfterMs = 500;
const retrySpreadMs = 500;

/** Creates the slots that this daemon has claimed, none at first. */
export const createLoadSlots = (options: LoadSlotsOptions): LoadSlots => {
  const { clock, log, records } = options;
  const turns = createTurns(clock);
  /** The planned groups that hold a slot. */
  const held = new Map<string, Load>();
  const retryAtMs = new Map<string, number>();

  const bounded = () =>
    options.configuration
      .current()
      .filter(({ weightStoreBytesPerSecond }) => weightStoreBytesPerSecond !== undefined);

  const isHeld = ({ groupId, generation }: Pick<Load, 'groupId' | 'generation'>) =>
    held.get(groupId)?.generation === generation;

  const forgetStarted = (fabricDomain: string) =>
    [...held.values()]
      .filter((load) => load.fabricDomain === fabricDomain)
      .filter(({ groupId }) => records().get(fabricDomain)?.groups[groupId]?.phase !== 'planned')
      .forEach(({ groupId }) => held.delete(groupId));

  const isWaiting = (team: string, fabricDomain: string): boolean =>
    Object.entries(records().get(fabricDomain)?.groups ?? {}).some(
      ([groupId, group]) =>
        group.team === team &&
        group.phase === 'planned' &&
        !isHeld({ groupId, generation: group.generation }),
    );

  const note = (team: string, fabricDomain: string, outcome: ClaimOutcome) => {
    outcome.granted.forEach((load) => held.set(load.groupId, load));
    if (outcome.kind === 'settled') return;
    log.info({ step: 'claim load slot', peer: fabricDomain, outcome: outcome.kind });
    retryAtMs.set(team, clock.monotonicMs() + retryAfterMs + options.random() * retrySpreadMs);
  };

  const claimOf = async (document: configuration.Configuration, fabricDomain: string) => {
    const { team, weightStoreBytesPerSecond: storeBytesPerSecond = Infinity } = document;
    if (!isWaiting(team, fabricDomain)) return;
    const loads = orderLoads(records(), document);
    const wanted = turns
      .inTurn(team, loads, storeBytesPerSecond)
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
    note(team, fabricDomain, outcome);
  };

  return {
    claim: async (fabricDomain) => {
      forgetStarted(fabricDomain);
      for (const document of bounded()) await claimOf(document, fabricDomain);
    },
    mayLoad: (record, groupId) => {
      const { team, generation } = record.groups[groupId]!;
      const isBounded = bounded().some((document) => document.team === team);
      return !isBounded || isHeld({ groupId, generation });
    },
  };
};
