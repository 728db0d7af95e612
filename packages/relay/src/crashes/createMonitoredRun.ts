import { randomUUID } from 'node:crypto';
import type { Candidate } from '../chooseTarget';
import type { RequestContext } from '../RequestContext';
import type { SendFailure } from '../sendToTarget';
import type { MonitoredRun, RunEnd } from './createCrashMonitor';

/** Creates a run of a request on a target, with an id of its own. */
export const createMonitoredRun = (
  { request, fingerprint, sharedPartIds }: RequestContext,
  candidate: Candidate,
  isResumed = false,
): MonitoredRun => ({
  runId: randomUUID(),
  fingerprint,
  sharedPartIds,
  hasPrompt: request.promptPartIds.length > 0,
  isResumed,
  candidate,
});

/** Returns how a failed run ended. */
export const endOfFailure = ({ ran, wasBroken, wasAnswered }: SendFailure): RunEnd => {
  if (ran === 'not-run') return 'not-run';
  if (wasAnswered) return 'failed';
  return wasBroken ? 'broken' : 'stopped';
};
