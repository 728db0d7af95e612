import type * as clocks from '@comfreydrum/clock';
import * as routing from '@comfreydrum/routing';
import type * as telemetry from '@comfreydrum/telemetry';
import type { Candidate } from '../chooseTarget';
import { createPartMonitor } from './createPartMonitor';
import type { ProcessCheck } from './createProcessCheck';
import { createRecentKeys } from './createRecentKeys';
import { partIdOfKey, partKeyOf } from './partKey';

/** One run of a request on a target. */
export interface MonitoredRun {
  /** Unique in this daemon. */
  readonly runId: string;
  readonly fingerprint: string;
  /** Ids of the parts of the prompt that other requests may share. */
  readonly sharedPartIds: readonly string[];
  /** Whether the request has a prompt of which the parts are known. */
  readonly hasPrompt: boolean;
  /** Whether the run resumes a stream, so that it runs only the rest of the request. */
  readonly isResumed: boolean;
  readonly candidate: Candidate;
}

/**
 * How a run ended.
 *
 * - `completed`: the target gave a whole answer.
 * - `failed`: the target answered with a failure, perhaps before it began to run the request.
 * - `not-run`: the target did not run the request.
 * - `broken`: the connection broke.
 * - `stopped`: this daemon ended the run.
 */
export type RunEnd = 'completed' | 'failed' | 'not-run' | 'broken' | 'stopped';

/** A member of a group whose process has ended. */
export interface EndedMember {
  readonly targetId: string;
  readonly startedAtMs: number;
}

/** When a request or a part of prompts was quarantined, on the monotonic clock. */
export interface Verdict {
  /** The fingerprint of a request, or the key of a part as returned by `partKeyOf`. */
  readonly fingerprint: string;
  readonly atMs: number;
}

/** What of a request is quarantined. */
export type QuarantineSubject = 'request' | 'prompt-part';

/** The worst status of a request and of the parts of its prompt. */
export type CrashStatus =
  | { readonly kind: 'clear' }
  | { readonly kind: 'suspect' }
  | {
      readonly kind: 'quarantined';
      readonly subject: QuarantineSubject;
      readonly retryAfterMs: number;
    };

/** Finds the requests and the parts of prompts that crash the targets on which they run, and quarantines them. */
export interface CrashMonitor {
  readonly check: (fingerprint: string, sharedPartIds?: readonly string[]) => CrashStatus;
  /** Records that a run is written to a connection of its target; only then may it cause the loss of the target. */
  readonly onDispatch: (run: MonitoredRun) => void;
  /**
   * Records the end of a run. After a broken run of a request that was on a lost target before, or has a part that
   * was, it resolves only once it is known whether this target has ended too.
   */
  readonly onEnd: (run: MonitoredRun, end: RunEnd) => Promise<void>;
  /** Records that members of a group have ended while it was running requests. */
  readonly onMembersEnded: (head: Candidate, members: readonly EndedMember[]) => void;
  /** Applies updates of other daemons. */
  readonly applyUpdates: (updates: readonly routing.QuarantineUpdate[]) => void;
  /** Returns the quarantined requests and parts known to this daemon. */
  readonly verdicts: () => readonly Verdict[];
}

/** Dependencies of the monitor. */
export interface CrashMonitorOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly processCheck: Pick<ProcessCheck, 'hasEnded'>;
  /** Counts the runs whose target ended meanwhile. */
  readonly crashedRuns: telemetry.Counter;
  /** Sends an update to the other daemons. */
  readonly publish: (update: routing.QuarantineUpdate) => void;
}

/** How long a request or a part stays quarantined. */
export const quarantineLifetimeMs = 600_000;
/** The process of a target may end this long after this daemon has closed its connection. */
const stoppedRunWindowMs = 1_000;
/** Daemons notice a crash within this time of each other; a target takes longer to start again. */
const sameLossMs = 500;
/** A request that has completed within this time is not suspected of a loss, since a crashing one never completes. */
const completionValidityMs = 10_000;
/** Enough for the requests that a daemon completes within the validity. */
const maxCompletions = 4_096;
const maxLoggedParts = 32;

/** Only a completed run shows that the request does not crash targets. */
const quarantineOutcomes = {
  completed: 'completed',
  failed: 'stopped',
  'not-run': 'not-run',
  broken: 'stopped',
  stopped: 'stopped',
} as const;

const crashTargetOf = ({
  targetId,
  startedAtMs,
  failureDomain,
}: Candidate): routing.CrashTarget => ({ targetId, generation: startedAtMs, failureDomain });

/** Creates a monitor without recorded crashes. */
export const createCrashMonitor = (options: CrashMonitorOptions): CrashMonitor => {
  const { clock, log, processCheck, publish } = options;
  const quarantine = routing.createQuarantine({
    lifetimeMs: quarantineLifetimeMs,
    stoppedRunWindowMs,
    sameLossMs,
    attribution: new routing.LeadingSuspectAttribution(),
  });
  const lifetimeMs = quarantineLifetimeMs;
  const parts = createPartMonitor({ clock, log, publish, lifetimeMs, sameLossMs });
  const verdictAtMs = new Map<string, number>();
  const completed = createRecentKeys(clock, completionValidityMs, maxCompletions);
  const sentAtMs = new WeakMap<MonitoredRun, number>();

  /** Makes a quarantine final, so that what is learned later of other requests does not lift it. */
  const reviewSuspects = (fingerprints: readonly string[]) =>
    fingerprints.forEach((fingerprint) => {
      const nowMs = clock.monotonicMs();
      if (verdictAtMs.has(fingerprint)) return;
      if (quarantine.check(fingerprint, nowMs).kind !== 'quarantined') return;
      const targetIds = quarantine.lossesOf(fingerprint, nowMs).map((loss) => loss.target.targetId);
      log.warn(
        { step: 'quarantine', fingerprint, targetIds },
        'quarantined a request that crashes targets',
      );
      const verdict = { kind: 'quarantined', fingerprint, ageMs: 0 } as const;
      verdictAtMs.set(fingerprint, nowMs);
      quarantine.onUpdate(verdict, nowMs);
      publish(verdict);
    });

  /** Clears the requests that have recently completed on this daemon of a loss, and returns their fingerprints. */
  const clearCompleted = ({ target, fingerprints }: routing.LossUpdate): readonly string[] => {
    const known = fingerprints.filter(completed.has);
    const targetKeys = [routing.targetKeyOf(target)];
    known.forEach((fingerprint) =>
      quarantine.onUpdate({ kind: 'cleared', fingerprint, targetKeys }, clock.monotonicMs()),
    );
    return known;
  };

  const recordLoss = (lost: routing.CrashTarget, ranOn: routing.CrashTarget) => {
    const update = quarantine.onTargetLost(lost, clock.monotonicMs(), ranOn);
    if (update.fingerprints.length === 0) return;
    options.crashedRuns.add({}, update.fingerprints.length);
    const cleared = new Set(clearCompleted(update));
    const fingerprints = update.fingerprints.filter((fingerprint) => !cleared.has(fingerprint));
    const { targetId } = lost;
    const clearedCount = cleared.size;
    const requestParts = parts.onOwnLoss(update);
    const suspectPartIds = new Set(requestParts.flatMap(({ partIds }) => partIds));
    const sharedPartIds = [...suspectPartIds].slice(0, maxLoggedParts);
    log.info(
      {
        step: 'crash',
        targetId,
        headId: ranOn.targetId,
        fingerprints,
        sharedPartIds,
        clearedCount,
      },
      'target ended while it ran requests',
    );
    if (fingerprints.length === 0 && requestParts.length === 0) return;
    const { kind, target, ageMs } = update;
    const loss = { kind, target, fingerprints, ageMs } as const;
    publish(requestParts.length === 0 ? loss : { ...loss, requestParts });
    reviewSuspects(fingerprints);
    parts.review(requestParts);
  };

  const checkTarget = async (candidate: Candidate) => {
    if (!(await processCheck.hasEnded(candidate))) return;
    const target = crashTargetOf(candidate);
    recordLoss(target, target);
  };

  const checkRequest = (fingerprint: string): CrashStatus => {
    const status = quarantine.check(fingerprint, clock.monotonicMs());
    if (status.kind !== 'quarantined') return { kind: status.kind };
    reviewSuspects([fingerprint]);
    return { ...status, subject: 'request' };
  };

  const check = (fingerprint: string, sharedPartIds: readonly string[] = []): CrashStatus => {
    const ofRequest = checkRequest(fingerprint);
    if (ofRequest.kind === 'quarantined') return ofRequest;
    const ofParts = parts.check(sharedPartIds);
    if (ofParts.kind === 'quarantined' || ofParts.kind === 'held') {
      return { ...ofParts, kind: 'quarantined', subject: 'prompt-part' };
    }
    return ofParts.kind === 'suspect' ? ofParts : ofRequest;
  };

  /** Applies an update on a part of prompts; returns whether it was one. */
  const applyPartUpdate = (update: routing.QuarantineUpdate): boolean => {
    if (update.kind === 'loss') return false;
    const partId = partIdOfKey(update.fingerprint);
    if (partId === undefined) return false;
    if (update.kind === 'cleared') parts.onCleared(partId, update.targetKeys);
    else parts.onVerdict(partId, update.ageMs);
    return true;
  };

  const applyUpdate = (update: routing.QuarantineUpdate) => {
    if (applyPartUpdate(update)) return;
    const nowMs = clock.monotonicMs();
    quarantine.onUpdate(update, nowMs);
    if (update.kind === 'cleared') verdictAtMs.delete(update.fingerprint);
    else if (update.kind === 'quarantined') {
      verdictAtMs.set(update.fingerprint, nowMs - update.ageMs);
    } else {
      const targetKeys = [routing.targetKeyOf(update.target)];
      clearCompleted(update).forEach((fingerprint) =>
        publish({ kind: 'cleared', fingerprint, targetKeys }),
      );
      reviewSuspects(update.fingerprints);
      parts.onReportedLoss(update);
    }
  };

  return {
    check,
    onDispatch: (run) => {
      const { runId, fingerprint, sharedPartIds, candidate } = run;
      const nowMs = clock.monotonicMs();
      sentAtMs.set(run, nowMs);
      // The daemon that serves the request records on which targets it runs.
      if (candidate.isDaemon) return;
      quarantine.onDispatch(runId, fingerprint, crashTargetOf(candidate), nowMs, sharedPartIds);
    },
    onEnd: async (run, end) => {
      const { runId, fingerprint, sharedPartIds, candidate } = run;
      const cleared = quarantine.onEnd(runId, quarantineOutcomes[end], clock.monotonicMs());
      if (end === 'completed') {
        completed.add(fingerprint);
        // The rest of a stream may be too short for its prompt to crash the target.
        if (run.hasPrompt && !run.isResumed) {
          parts.onCompleted(sharedPartIds, sentAtMs.get(run) ?? -Infinity);
        }
      }
      if (cleared !== undefined) {
        const wasQuarantined = verdictAtMs.delete(fingerprint);
        const fields = { step: 'quarantine', fingerprint, wasQuarantined };
        if (wasQuarantined) log.warn(fields, 'cleared a quarantined request that completed');
        else log.debug(fields, 'cleared a suspect request that completed');
        publish(cleared);
      }
      if (end !== 'broken' || candidate.isDaemon) return;
      const checked = checkTarget(candidate);
      if (check(fingerprint, sharedPartIds).kind !== 'clear') await checked;
    },
    onMembersEnded: (head, members) =>
      members.forEach(({ targetId, startedAtMs }) => {
        const { failureDomain } = head;
        const member = { targetId, generation: startedAtMs, failureDomain };
        recordLoss(member, crashTargetOf(head));
      }),
    applyUpdates: (updates) => updates.forEach(applyUpdate),
    verdicts: () => {
      const nowMs = clock.monotonicMs();
      verdictAtMs.forEach((atMs, fingerprint) => {
        if (nowMs - atMs >= quarantineLifetimeMs) verdictAtMs.delete(fingerprint);
      });
      const ofParts = [...parts.verdictsAtMs()].map(([partId, atMs]) => ({
        fingerprint: partKeyOf(partId),
        atMs,
      }));
      return [
        ...[...verdictAtMs].map(([fingerprint, atMs]) => ({ fingerprint, atMs })),
        ...ofParts,
      ];
    },
  };
};
