import { setTimeout as delay } from 'node:timers/promises';
import type * as testing from '@comfreydrum/testing';
import { readGroups, type StoredGroup } from '../missing-member/storedGroups';

/** The group that an engine reported as loaded at one time. */
export interface LoadedSample {
  readonly atMs: number;
  readonly instanceId: string;
  readonly groupId: string;
  readonly generation: number;
}

/** Samples the groups that the engines have loaded and the groups stored on the platform. */
export interface MembershipSampler {
  readonly loadedSamples: () => readonly LoadedSample[];
  /** Returns every group at every sampled generation, with its members. */
  readonly groups: () => readonly StoredGroup[];
  readonly stop: () => Promise<void>;
}

const intervalMs = 100;

/** Samples a fleet until stopped. */
export const createMembershipSampler = (fleet: testing.Fleet): MembershipSampler => {
  const loadedSamples: LoadedSample[] = [];
  const groups = new Map<string, StoredGroup>();
  let isStopped = false;

  const sampleEngine = async (engine: testing.FleetTarget) => {
    if (!engine.process().isRunning()) return;
    const presence = await engine.presence().catch(() => undefined);
    if (!presence) return;
    const { groupId, generation } = presence;
    const { instanceId } = engine;
    loadedSamples.push({ atMs: Date.now(), instanceId, groupId, generation });
  };

  const sampleGroups = async () => {
    const found = await readGroups(fleet);
    found.forEach((group) => groups.set(`${group.groupId}@${group.generation}`, group));
  };

  const run = async () => {
    while (!isStopped) {
      await Promise.all([...fleet.engines.map(sampleEngine), sampleGroups()]);
      await delay(intervalMs);
    }
  };

  const running = run();
  return {
    loadedSamples: () => loadedSamples,
    groups: () => [...groups.values()],
    stop: async () => {
      isStopped = true;
      await running;
    },
  };
};
