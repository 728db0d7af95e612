import * as telemetry from '@comfreydrum/telemetry';
import type { AdminDependencies } from './AdminDependencies';
import type { DaemonStatus, FleetStatus } from './DaemonStatus';

/** Collects the status and the timeline events of every daemon. */
export interface FleetView {
  readonly status: () => Promise<FleetStatus>;
  readonly timeline: (requestId?: string) => Promise<readonly telemetry.TimelineEvent[]>;
}

const callTimeoutMs = 2_000;
const statusMethod = 'admin.status';
const timelineMethod = 'admin.timeline';

/** Creates the fleet view and registers handlers for the same calls from other daemons. */
export const createFleetView = (dependencies: AdminDependencies): FleetView => {
  const { membership, calls, timeline } = dependencies;

  const localTimeline = (requestId: unknown) => {
    const events = timeline.read();
    return requestId === undefined || requestId === null
      ? events
      : events.filter((event) => event.requestId === requestId);
  };

  calls.handle(statusMethod, () => Promise.resolve(dependencies.status()));
  calls.handle(timelineMethod, (params) => {
    const requestId = (params as { readonly requestId?: unknown } | undefined)?.requestId;
    return Promise.resolve(localTimeline(requestId));
  });

  const callOtherDaemons = (method: string, params: object) =>
    Promise.all(
      membership
        .members()
        .filter(({ instanceId }) => instanceId !== membership.self().instanceId)
        .map(async ({ instanceId, address }) => ({
          instanceId,
          result: await calls.call(address, method, params, callTimeoutMs),
        })),
    );

  return {
    status: async () => {
      const responses = await callOtherDaemons(statusMethod, {});
      return {
        daemons: [
          dependencies.status(),
          ...responses.flatMap(({ result }) => (result.ok ? [result.value as DaemonStatus] : [])),
        ],
        unreachable: responses.flatMap(({ instanceId, result }) =>
          result.ok ? [] : [{ instanceId, message: result.error.message }],
        ),
      };
    },
    timeline: async (requestId) => {
      const responses = await callOtherDaemons(timelineMethod, { requestId });
      return telemetry.mergeTimelines([
        localTimeline(requestId),
        ...responses.flatMap(({ result }) =>
          result.ok ? [result.value as readonly telemetry.TimelineEvent[]] : [],
        ),
      ]);
    },
  };
};
