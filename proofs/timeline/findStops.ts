import type * as telemetry from '@comfreydrum/telemetry';

/** A group that the daemons marked broken, according to the merged timeline. */
export interface GroupStop {
  readonly groupId: string;
  readonly generation: number;
  /** The instances that received load orders for this group, up to this generation. */
  readonly members: readonly string[];
  /** The daemons that marked the group broken, in that order. */
  readonly stoppedOn: readonly string[];
  readonly firstBrokenAtMs: number;
  readonly lastBrokenAtMs: number;
  readonly dispatchedBefore: number;
  /** Dispatches by a daemon that had already marked the group broken. */
  readonly dispatchedAfter: readonly telemetry.TimelineEvent[];
}

type Events = readonly telemetry.TimelineEvent[];

const findStop = (events: Events, broken: telemetry.TimelineEvent): GroupStop => {
  const { groupId = '', generation = 0 } = broken;
  const ofGroup = events.filter(
    (event) => event.groupId === groupId && event.generation === generation,
  );
  const brokenEvents = ofGroup.filter(({ step }) => step === 'group broken');
  const dispatches = ofGroup.filter(({ step }) => step === 'dispatch');
  const isAfterStop = (dispatch: telemetry.TimelineEvent) =>
    brokenEvents.some(
      (stop) =>
        stop.instanceId === dispatch.instanceId && events.indexOf(stop) < events.indexOf(dispatch),
    );
  const orders = events.filter(
    (event) =>
      event.groupId === groupId &&
      event.step.startsWith('order') &&
      event.step.includes('load') &&
      event.generation! <= generation,
  );
  return {
    groupId,
    generation,
    members: [...new Set(orders.map(({ peer = '' }) => peer))],
    stoppedOn: brokenEvents.map(({ instanceId }) => instanceId),
    firstBrokenAtMs: brokenEvents[0]!.time.wallMs,
    lastBrokenAtMs: brokenEvents.at(-1)!.time.wallMs,
    dispatchedBefore: dispatches.filter((dispatch) => !isAfterStop(dispatch)).length,
    dispatchedAfter: dispatches.filter(isAfterStop),
  };
};

/**
 * Finds the groups that were marked broken. `events` are merged over all daemons, in time order.
 */
export const findStops = (events: Events): readonly GroupStop[] => {
  const firstBrokenEvents = new Map<string, telemetry.TimelineEvent>();
  events
    .filter(({ step }) => step === 'group broken')
    .forEach((event) => {
      const key = `${event.groupId}@${event.generation}`;
      if (!firstBrokenEvents.has(key)) firstBrokenEvents.set(key, event);
    });
  return [...firstBrokenEvents.values()].map((broken) => findStop(events, broken));
};
