import type { TimelineEvent } from './createTimeline';

/** An event in the Trace Event format; times are in microseconds. */
interface TraceEvent {
  readonly name: string;
  readonly ph: 'X' | 'i';
  readonly pid: string;
  readonly tid: string;
  readonly ts: number;
  readonly dur?: number;
  readonly s?: 'p';
  readonly args: object;
}

const microsecondsPerMs = 1_000;

const toTraceEvent = ({ instanceId, time, step, ...detail }: TimelineEvent): TraceEvent => {
  const endUs = time.wallMs * microsecondsPerMs + time.counter;
  const common = {
    name: step,
    pid: instanceId,
    tid: detail.groupId ?? detail.requestId ?? 'process',
    args: detail,
  };
  if (detail.durationMs === undefined) return { ...common, ph: 'i', s: 'p', ts: endUs };
  const dur = detail.durationMs * microsecondsPerMs;
  return { ...common, ph: 'X', ts: endUs - dur, dur };
};

/** Renders a timeline as JSON in the Trace Event format, which trace viewers can open. */
export const toTraceEvents = (events: readonly TimelineEvent[]): string =>
  JSON.stringify({ traceEvents: events.map(toTraceEvent), displayTimeUnit: 'ms' });
