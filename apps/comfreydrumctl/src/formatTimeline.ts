import type * as telemetry from '@comfreydrum/telemetry';
import { formatTable } from './formatTable';

const describeEvent = (event: telemetry.TimelineEvent): string =>
  [
    event.requestId && `request ${event.requestId}`,
    event.groupId && `group ${event.groupId}`,
    event.generation !== undefined && `generation ${event.generation}`,
    event.peer && `peer ${event.peer}`,
    event.revision !== undefined && `revision ${event.revision}`,
    event.outcome,
    event.text,
  ]
    .filter((part) => part !== undefined && part !== false && part !== '')
    .join(', ');

/** Formats a timeline as a table with one event per row. */
export const formatTimeline = (events: readonly telemetry.TimelineEvent[]): string =>
  formatTable(
    ['TIME', 'DAEMON', 'STEP', 'DETAIL'],
    events.map((event) => [
      `${new Date(event.time.wallMs).toISOString()}+${event.time.counter}`,
      event.instanceId,
      event.step,
      describeEvent(event),
    ]),
  );
