import * as clock from '@comfreydrum/clock';
import type { TimelineEvent } from './createTimeline';

/** Merges the timelines of several processes into one, ordered by hybrid time. */
export const mergeTimelines = (
  timelines: readonly (readonly TimelineEvent[])[],
): readonly TimelineEvent[] =>
  timelines
    .flat()
    .sort(
      (left, right) =>
        clock.compareHybridTimes(left.time, right.time) ||
        left.instanceId.localeCompare(right.instanceId),
    );
