import { setTimeout as delay } from 'node:timers/promises';
import type * as testing from '@comfreydrum/testing';
import { readGroups, type GroupInForce } from '../missing-member/storedGroups';

/** The group that an engine reported as loaded at one time. */
export interface LoadedSample {
  readonly atMs: number;
  readonly instanceId: string;
  readonly groupId: string;
  readonly generation: number;
}

/** Samples the groups that the engines have loaded and the groups stored on the platform. */
export interface Sampler {
  readonly samples: () => readonly LoadedSample[];
  /** Returns every group at every sampled generation, with its members. */
  readonly groups: () => readonly GroupInForce[];
  readonly stop: () => Promise<void>;
}

const intervalMs = 100;

/** Samples a fleet until stopped. */
export const createSampler = (fleet: testing.Fleet): Sampler => {
  const samples: LoadedSample[] = [];
  const groups = new Map<string, GroupInForce>();
  let isStopped = false;

  const sampleEngine = async (engine: testing.FleetTarget) => {
    if (!engine.process().isRunning()) return;
    const presence = await engine.presence().catch(() => undefined);
    if (!presence) return;
    const { groupId, generation } = presence;
    const { instanceId } = engine;
    samples.push({ atMs: Date.now(), instanceId, groupId, generation });
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
    samples: () => samples,
    groups: () => [...groups.values()],
    stop: async () => {
      isStopped = true;
      await running;
    },
  };
};
