import type * as routing from '@comfreydrum/routing';
import { canEndBeforeStop } from '../canEndBeforeStop';
import { hasFreeSlot, type Candidate } from '../chooseTarget';
import type { QuarantineSubject } from '../crashes/createCrashMonitor';
import type { RelayDependencies } from '../RelayDependencies';
import type { RequestContext } from '../RequestContext';
import type { SendFailure } from '../sendToTarget';
import { isPaused } from '../signals/isPaused';
import { selectTarget, type SelectionDenial } from './selectTarget';

type RetryDenial = Extract<routing.RetryDecision, { kind: 'denied' }>['reason'];

/** Why no further run of a request may start. */
export type RunDenial =
  | {
      readonly reason: 'quarantined';
      readonly subject: QuarantineSubject;
      readonly retryAfterMs: number;
    }
  | SelectionDenial
  | {
      readonly reason:
        | RetryDenial
        | 'shutting-down'
        | 'unauthorized'
        | 'not-repeatable'
        | 'too-many-runs'
        | 'too-many-rejections'
        | 'deadline-reached';
    };

export type RunDecision =
  | { readonly kind: 'allowed'; readonly candidate: Candidate; readonly isRetry: boolean }
  | { readonly kind: 'denied'; readonly denial: RunDenial };

/** What a failed run means for the next one. */
export type RunFailure = Pick<SendFailure, 'ran' | 'wasRejected' | 'excuse'>;

/** Decides whether and where a request runs next; knows all of its runs. */
export interface RunAllowance {
  /**
   * Decides on the first run, or on the next one after all earlier ones have failed; waits where only targets with
   * a limit can take it.
   */
  readonly next: () => Promise<RunDecision>;
  /**
   * Decides on a hedge: a run on another target beside one that has been silent for `silentMs`. It needs a target that
   * can start it at once, names no limit and has delivered something meanwhile, unless it is idle.
   */
  readonly hedge: (nowMs: number, silentMs: number) => RunDecision;
  /** Records a run that the target has rejected, or that the target may have executed and failed. */
  readonly onFailure: (candidate: Candidate, failure: RunFailure) => void;
  /** Returns the number of failed runs that a target may have executed. */
  readonly failedRunCount: () => number;
  readonly triedCount: () => number;
}

/** What depends on the kind of request. */
export interface RunAllowanceOptions {
  readonly listCandidates: (nowMs: number) => readonly Candidate[];
  /** Whether the request may run once more. */
  readonly isRepeatable: () => boolean;
  /** Whether the first run needs a target with a free slot. */
  readonly needsFreeSlot: boolean;
  /** Maximum number of rejections by targets before a request is no longer retried. */
  readonly maxRejections: number;
}

/** A request with less time left is not sent. */
const minSendBudgetMs = 20;
/** A target that is silent for this fraction of the time of another one may be silent for the same reason. */
const sharedSilenceFraction = 0.5;

/** Runs of a request that end before it is sent and cost no retry; after them other daemons are asked to serve it. */
const maxFreeUnsentRuns = 2;

/** Returns the number of targets that may run a request that is sent to a candidate. */
const runsOf = ({ remainingRuns = 1 }: Candidate): number => remainingRuns;

const deny = (denial: RunDenial): RunDecision => ({ kind: 'denied', denial });

/** Creates the allowance of a request that has not run yet. */
export const createRunAllowance = (
  dependencies: RelayDependencies,
  context: RequestContext,
  options: RunAllowanceOptions,
): RunAllowance => {
  const { clock, targetReach } = dependencies;
  const { route, service, deadlineAtMs } = context;
  const retryBudget = dependencies.retryBudgets.of(service.name);
  const maxTargets = Math.min(
    route.maxTargets,
    context.request.handover?.remainingRuns ?? route.maxTargets,
  );
  const tried = new Set<string>();
  /** Number of runs that ended before the request was sent. */
  let unsentCount = 0;
  let startedRunCount = 0;
  let notRunCount = 0;
  let rejectionCount = 0;
  let failedRunCount = 0;

  /** Number of runs that targets may have executed, including those in progress and all that other daemons may start. */
  const runCount = () => startedRunCount - notRunCount;

  /** Leaves this daemon a run, in case the other one fails. */
  const handoverRuns = () => Math.max(1, maxTargets - runCount() - 1);

  const canHedge = (candidate: Candidate, nowMs: number, silentMs: number): boolean => {
    const { silentSinceMs = nowMs } = candidate.stats;
    if (candidate.limitPerSecond !== undefined) return false;
    return hasFreeSlot(candidate) && nowMs - silentSinceMs < silentMs * sharedSilenceFraction;
  };

  const findRetryDenial = (): RunDenial | undefined => {
    if (runCount() > 0 && !options.isRepeatable()) return { reason: 'not-repeatable' };
    if (runCount() >= maxTargets) return { reason: 'too-many-runs' };
    if (rejectionCount > options.maxRejections) return { reason: 'too-many-rejections' };
    return undefined;
  };

  const isUntried = ({ key }: Candidate) => !tried.has(key);

  /** Returns the targets; while this daemon reaches none of them, the daemons that do. */
  const listUntried = (nowMs: number) => {
    const helpers = context.request.handover ? [] : targetReach.helpersOf(service.name);
    return (helpers.length > 0 ? helpers : options.listCandidates(nowMs)).filter(
      (candidate) => isUntried(candidate) && !isPaused(candidate, nowMs),
    );
  };

  /** Returns daemons that reach the targets, for a request that has failed to reach any. */
  const findHelpers = async (): Promise<readonly Candidate[]> => {
    if (context.request.handover || unsentCount === 0) return [];
    const isReachLost =
      unsentCount >= maxFreeUnsentRuns || listUntried(clock.monotonicMs()).length === 0;
    return isReachLost ? (await targetReach.findHelpers(service)).filter(isUntried) : [];
  };

  /** Whether this daemon stops, and the request has to end or had better not start. */
  const hasToStop = (nowMs: number): boolean => {
    if (context.mustEnd.aborted) return true;
    if (startedRunCount > 0) return false;
    const { receivedAtMs } = context;
    const timeLimitMs = deadlineAtMs - nowMs;
    return !canEndBeforeStop(dependencies, { route, receivedAtMs, timeLimitMs });
  };

  /** Returns why the request may not be sent at all now. */
  const findDenial = (nowMs: number, isRetry: boolean): RunDenial | undefined => {
    const retryDenial = isRetry ? findRetryDenial() : undefined;
    if (hasToStop(nowMs)) return { reason: 'shutting-down' };
    if (!context.isStillAuthorized()) return { reason: 'unauthorized' };
    const status = dependencies.crashMonitor.check(context.fingerprint, context.sharedPartIds);
    if (status.kind === 'quarantined') return { ...status, reason: 'quarantined' };
    if (deadlineAtMs - nowMs < minSendBudgetMs) return { reason: 'deadline-reached' };
    return retryDenial;
  };

  /** Starts a run on a target, as a retry if the retry budget allows it. */
  const start = (candidate: Candidate, nowMs: number, isHedge: boolean): RunDecision => {
    const isRetry = tried.size > Math.min(unsentCount, maxFreeUnsentRuns);
    if (isRetry) {
      const { key: targetId, expectedMs } = candidate;
      const retry = { targetId, triedIds: tried, deadlineAtMs, expectedMs, isOptional: isHedge };
      const decision = retryBudget.tryRetry(retry, nowMs);
      if (decision.kind === 'denied') return deny({ reason: decision.reason });
    }
    const chosen = candidate.isDaemon ? { ...candidate, remainingRuns: handoverRuns() } : candidate;
    startedRunCount += runsOf(chosen);
    tried.add(candidate.key);
    return { kind: 'allowed', candidate: chosen, isRetry };
  };

  const next = async (): Promise<RunDecision> => {
    const isRetry = tried.size > 0;
    const denial = findDenial(clock.monotonicMs(), isRetry);
    if (denial !== undefined) return deny(denial);
    const helpers = await findHelpers();
    const needsFreeSlot = options.needsFreeSlot && !isRetry;
    const selection = await selectTarget(dependencies, context, {
      listCandidates: (nowMs) => (helpers.length > 0 ? helpers : listUntried(nowMs)),
      needsFreeSlot,
      isRetry,
    });
    if (selection.kind === 'denied') return deny(selection.denial);
    // The selection may have waited.
    const nowMs = clock.monotonicMs();
    const lateDenial = findDenial(nowMs, isRetry);
    if (lateDenial !== undefined) return deny(lateDenial);
    return start(selection.candidate, nowMs, false);
  };

  const hedge = (nowMs: number, silentMs: number): RunDecision => {
    const denial = findDenial(nowMs, true);
    if (denial !== undefined) return deny(denial);
    if (!retryBudget.canRetry(true)) return deny({ reason: 'budget-spent' });
    const candidates = listUntried(nowMs).filter((candidate) =>
      canHedge(candidate, nowMs, silentMs),
    );
    const { placing, random } = dependencies;
    const candidate = placing.choose(context, candidates, { nowMs, random });
    return candidate === undefined ? deny({ reason: 'no-target' }) : start(candidate, nowMs, true);
  };

  return {
    next,
    hedge,
    onFailure: (candidate, { ran, wasRejected, excuse }) => {
      if (excuse === 'held-back') {
        notRunCount += runsOf(candidate);
        tried.delete(candidate.key);
        return;
      }
      if (ran === 'unknown') failedRunCount += 1;
      else notRunCount += runsOf(candidate);
      if (wasRejected) rejectionCount += 1;
      else if (ran === 'not-run') unsentCount += 1;
    },
    failedRunCount: () => failedRunCount,
    triedCount: () => tried.size,
  };
};
