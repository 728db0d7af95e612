import * as clocks from '@comfreydrum/clock';
import type { RequestContext } from './RequestContext';

/** Creates the deadline of a request, which also aborts with the source signals. */
export const createRequestDeadline = (
  { deadlineAtMs }: RequestContext,
  clockOfDaemon: clocks.Clock,
  sources: readonly AbortSignal[] = [],
): clocks.Deadline =>
  clocks.createDeadline(
    Math.max(1, Math.ceil(deadlineAtMs - clockOfDaemon.monotonicMs())),
    sources,
  );
