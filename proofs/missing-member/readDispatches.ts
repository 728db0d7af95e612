import type * as telemetry from '@comfreydrum/telemetry';
import type * as testing from '@comfreydrum/testing';

/**
 * A request dispatched to a group, as recorded in a daemon's timeline or by the engine that
 * received it.
 */
export interface Dispatch {
  readonly source: string;
  readonly groupId: string;
  readonly generation: number;
  readonly atMs: number;
}

/**
 * Reads the dispatches recorded by all running daemons, and by all engines including their earlier
 * processes.
 */
export const readDispatches = async (fleet: testing.Fleet): Promise<readonly Dispatch[]> => {
  const running = fleet.daemons.filter((daemon) => daemon.process().isRunning());
  const timelines = await Promise.all(
    running.map(async (daemon) => (await daemon.read('v1/timeline')) as telemetry.TimelineEvent[]),
  );
  const sent = timelines
    .flat()
    .filter(({ step }) => step === 'dispatch')
    .map(({ instanceId, groupId = '', generation = 0, time }) => ({
      source: instanceId,
      groupId,
      generation,
      atMs: time.wallMs,
    }));
  const received = fleet.engines.flatMap((engine) =>
    engine.startedRequests().map(({ askedGroupId, askedGeneration, receivedAtMs }) => ({
      source: engine.instanceId,
      groupId: askedGroupId,
      generation: Number(askedGeneration),
      atMs: receivedAtMs,
    })),
  );
  return [...sent, ...received];
};
