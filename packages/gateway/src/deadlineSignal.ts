import type * as clock from '@comfreydrum/clock';
import type { RequestContext } from './RequestContext';

/** Returns a signal that aborts at the deadline of a request. */
export const deadlineSignal = (context: RequestContext, clockOfDaemon: clock.Clock): AbortSignal =>
  AbortSignal.timeout(Math.max(1, Math.ceil(context.deadlineAtMs - clockOfDaemon.monotonicMs())));
