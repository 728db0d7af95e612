import { IndependentLossAttribution } from './IndependentLossAttribution';
import type { LossAssessment, LossAttribution, LossRecord, RecordedLoss } from './LossAttribution';
import {
  targetKeyOf,
  type ClearedUpdate,
  type CrashTarget,
  type LossUpdate,
  type Quarantine,
  type QuarantineStatus,
  type RequestParts,
} from './Quarantine';

export interface QuarantineOptions {
  /** How long a request stays suspect or quarantined after its last crash. */
  readonly lifetimeMs?: number;
  /** Targets lost within this time of each other may have been lost for the same reason. */
  readonly correlationMs?: number;
  readonly attribution?: LossAttribution;
  /**
   * Losses of the same target further apart than this are crashes of successive processes that are still listed
   * as one; by default a target is lost once.
   */
  readonly sameLossMs?: number;
  readonly maxEntries?: number;
  /** Time after a run was stopped during which it may still cause the loss of its target. */
  readonly stoppedRunWindowMs?: number;
}

interface Loss extends RecordedLoss {
  readonly target: CrashTarget;
}

interface Entry {
  /** How long the request had run when each target was lost, by target key. */
  readonly ranForMs: Map<string, number>;
  readonly cleared: Set<string>;
  lastCrashAtMs: number;
}

interface Run {
  readonly fingerprint: string;
  readonly partIds: readonly string[];
  readonly targetKey: string;
  readonly sentAtMs: number;
  /** Time until which the run may cause the loss of its target; set when the run is stopped. */
  expiresAtMs?: number;
}

const defaultLifetimeMs = 600_000;
const defaultCorrelationMs = 2_500;
const defaultMaxEntries = 20_000;
const defaultStoppedRunWindowMs = 3_000;
const maxLosses = 2_048;
const clearStatus: QuarantineStatus = { kind: 'clear' };

/** Lists the requests of lost runs that share parts of their prompts, each once. */
const requestPartsOf = (runs: readonly Run[]): readonly RequestParts[] => {
  const partsOfRequest = new Map(
    runs
      .filter(({ partIds }) => partIds.length > 0)
      .map(({ fingerprint, partIds }) => [fingerprint, partIds]),
  );
  return [...partsOfRequest].map(([fingerprint, partIds]) => ({ fingerprint, partIds }));
};

/** Creates a quarantine without entries. */
export const createQuarantine = (options: QuarantineOptions = {}): Quarantine => {
  const {
    lifetimeMs = defaultLifetimeMs,
    correlationMs = defaultCorrelationMs,
    maxEntries = defaultMaxEntries,
    stoppedRunWindowMs = defaultStoppedRunWindowMs,
    attribution = new IndependentLossAttribution(correlationMs),
    sameLossMs = Infinity,
  } = options;
  const runs = new Map<string, Run>();
  const runsOfTarget = new Map<string, Set<string>>();
  /** Stopped runs that may still cause a loss, in the order in which they were stopped. */
  const stoppedIds = new Set<string>();
  const losses = new Map<string, Loss>();
  const entries = new Map<string, Entry>();
  const suspectsOfTarget = new Map<string, Set<string>>();
  /** Times until which requests are quarantined by a verdict. */
  const verdicts = new Map<string, number>();

  const dropOldest = <Value>(map: Map<string, Value>, maxSize: number) => {
    for (const oldest of map.keys()) {
      if (map.size <= maxSize) return;
      map.delete(oldest);
    }
  };

  /** Returns the key of the loss of a target at a time; further losses of the same target get a number. */
  const lossKeyAt = (target: CrashTarget, atMs: number): string => {
    const targetKey = targetKeyOf(target);
    let key = targetKey;
    for (let number = 2; ; number += 1) {
      const known = losses.get(key);
      if (!known || Math.abs(known.atMs - atMs) <= sameLossMs) return key;
      key = `${targetKey}/${number}`;
    }
  };

  const recordLoss = (target: CrashTarget, atMs: number): Loss => {
    const targetKey = lossKeyAt(target, atMs);
    const known = losses.get(targetKey);
    if (known && known.atMs <= atMs && known.failureDomain !== '') return known;
    const loss = {
      targetKey,
      target,
      failureDomain: target.failureDomain,
      atMs: Math.min(atMs, known?.atMs ?? atMs),
    };
    losses.set(targetKey, loss);
    dropOldest(losses, maxLosses);
    dropOldest(suspectsOfTarget, maxLosses);
    return loss;
  };

  const recordCrash = (fingerprint: string, targetKey: string, atMs: number, ranForMs: number) => {
    const entry = entries.get(fingerprint) ?? {
      ranForMs: new Map(),
      cleared: new Set(),
      lastCrashAtMs: atMs,
    };
    entry.ranForMs.set(targetKey, Math.max(ranForMs, entry.ranForMs.get(targetKey) ?? 0));
    entry.lastCrashAtMs = Math.max(entry.lastCrashAtMs, atMs);
    entries.delete(fingerprint);
    entries.set(fingerprint, entry);
    dropOldest(entries, maxEntries);
    suspectsOfTarget.set(
      targetKey,
      (suspectsOfTarget.get(targetKey) ?? new Set()).add(fingerprint),
    );
  };

  /** Returns the lost targets of which a request is suspected. */
  const suspectedKeysOf = (fingerprint: string): readonly string[] => {
    const entry = entries.get(fingerprint);
    if (!entry) return [];
    return [...entry.ranForMs.keys()].filter((targetKey) => !entry.cleared.has(targetKey));
  };

  const record: LossRecord = {
    losses: () => losses.values(),
    wasRunningOn: (fingerprint, targetKey) =>
      entries.get(fingerprint)?.ranForMs.has(targetKey) ?? false,
    suspectsOf: (targetKey) =>
      [...(suspectsOfTarget.get(targetKey) ?? [])].filter(
        (fingerprint) => entries.get(fingerprint)?.cleared.has(targetKey) === false,
      ),
    lossCountOf: (fingerprint) => suspectedKeysOf(fingerprint).length,
  };

  const assess = (fingerprint: string): LossAssessment<Loss> => {
    const suspected = suspectedKeysOf(fingerprint).flatMap((key) => losses.get(key) ?? []);
    return attribution.assess(fingerprint, suspected, record);
  };

  const evaluate = (fingerprint: string, entry: Entry, nowMs: number): QuarantineStatus => {
    const { counted, isConclusive } = assess(fingerprint);
    if (counted.length === 0) return clearStatus;
    if (isConclusive) {
      const retryAfterMs = Math.max(0, entry.lastCrashAtMs + lifetimeMs - nowMs);
      return { kind: 'quarantined', retryAfterMs };
    }
    return {
      kind: 'suspect',
      lostTargetKeys: new Set(entry.ranForMs.keys()),
      lostFailureDomains: new Set(counted.map(({ failureDomain }) => failureDomain)),
      settledAtMs: Math.max(...counted.map(({ atMs }) => atMs)) + correlationMs,
      ranForMs: Math.max(...entry.ranForMs.values()),
    };
  };

  const removeRun = (requestId: string): Run | undefined => {
    const run = runs.get(requestId);
    if (!run) return undefined;
    runs.delete(requestId);
    stoppedIds.delete(requestId);
    const requestIds = runsOfTarget.get(run.targetKey);
    requestIds?.delete(requestId);
    if (requestIds?.size === 0) runsOfTarget.delete(run.targetKey);
    return run;
  };

  /** Returns the key of the target of a loss. */
  const targetKeyOfLoss = (lossKey: string): string => {
    const loss = losses.get(lossKey);
    return loss ? targetKeyOf(loss.target) : lossKey;
  };

  const clearSuspicion = (fingerprint: string, targetKeys: readonly string[]) => {
    verdicts.delete(fingerprint);
    const entry = entries.get(fingerprint);
    if (!entry) return;
    const clearedKeys = new Set(targetKeys);
    [...entry.ranForMs.keys()]
      .filter((lossKey) => clearedKeys.has(targetKeyOfLoss(lossKey)))
      .forEach((lossKey) => entry.cleared.add(lossKey));
    clearedKeys.forEach((targetKey) => entry.cleared.add(targetKey));
  };

  const dropExpiredStopped = (nowMs: number) => {
    for (const requestId of stoppedIds) {
      if (runs.get(requestId)!.expiresAtMs! > nowMs) return;
      removeRun(requestId);
    }
  };

  const markStopped = (requestId: string, nowMs: number) => {
    const run = runs.get(requestId);
    if (!run) return;
    run.expiresAtMs = nowMs + stoppedRunWindowMs;
    stoppedIds.add(requestId);
  };

  const removeRunsOf = (targetKey: string, sentUntilMs: number): readonly Run[] =>
    [...(runsOfTarget.get(targetKey) ?? [])]
      .filter((requestId) => runs.get(requestId)!.sentAtMs <= sentUntilMs)
      .flatMap((requestId) => removeRun(requestId) ?? []);

  return {
    check: (fingerprint, nowMs) => {
      const verdictUntilMs = verdicts.get(fingerprint) ?? -Infinity;
      if (verdictUntilMs > nowMs) {
        return { kind: 'quarantined', retryAfterMs: verdictUntilMs - nowMs };
      }
      verdicts.delete(fingerprint);
      const entry = entries.get(fingerprint);
      if (!entry) return clearStatus;
      if (nowMs - entry.lastCrashAtMs < lifetimeMs) return evaluate(fingerprint, entry, nowMs);
      entries.delete(fingerprint);
      return clearStatus;
    },
    onDispatch: (requestId, fingerprint, target, nowMs, partIds = []) => {
      dropExpiredStopped(nowMs);
      const targetKey = targetKeyOf(target);
      runs.set(requestId, { fingerprint, partIds, targetKey, sentAtMs: nowMs });
      runsOfTarget.set(targetKey, (runsOfTarget.get(targetKey) ?? new Set()).add(requestId));
    },
    onEnd: (requestId, outcome, nowMs): ClearedUpdate | undefined => {
      dropExpiredStopped(nowMs);
      if (outcome === 'stopped') {
        markStopped(requestId, nowMs);
        return undefined;
      }
      const run = removeRun(requestId);
      if (!run || outcome === 'not-run') return undefined;
      const targetKeys = [...new Set(suspectedKeysOf(run.fingerprint).map(targetKeyOfLoss))];
      if (targetKeys.length === 0 && !verdicts.has(run.fingerprint)) return undefined;
      clearSuspicion(run.fingerprint, targetKeys);
      return { kind: 'cleared', fingerprint: run.fingerprint, targetKeys };
    },
    onTargetLost: (target, nowMs, ranOn = target): LossUpdate => {
      dropExpiredStopped(nowMs);
      const isMember = ranOn !== target;
      const knownAtMs = isMember ? losses.get(targetKeyOf(target))?.atMs : undefined;
      const { targetKey, atMs } = recordLoss(target, knownAtMs ?? nowMs);
      // A head still receives requests after a member was lost, which did not cause that loss.
      const sentUntilMs = isMember ? atMs : Infinity;
      const lostRuns = removeRunsOf(targetKeyOf(ranOn), sentUntilMs);
      lostRuns.forEach(({ fingerprint, sentAtMs }) =>
        recordCrash(fingerprint, targetKey, nowMs, nowMs - sentAtMs),
      );
      const fingerprints = [...new Set(lostRuns.map(({ fingerprint }) => fingerprint))];
      const requestParts = requestPartsOf(lostRuns);
      const update = { kind: 'loss', target, fingerprints, ageMs: nowMs - atMs } as const;
      return requestParts.length === 0 ? update : { ...update, requestParts };
    },
    onUpdate: (update, nowMs) => {
      if (update.kind === 'cleared') {
        clearSuspicion(update.fingerprint, update.targetKeys);
        return;
      }
      if (update.kind === 'quarantined') {
        verdicts.set(update.fingerprint, nowMs - update.ageMs + lifetimeMs);
        dropOldest(verdicts, maxEntries);
        return;
      }
      const { targetKey, atMs } = recordLoss(update.target, nowMs - update.ageMs);
      update.fingerprints.forEach((fingerprint) => recordCrash(fingerprint, targetKey, atMs, 0));
    },
    lossesOf: (fingerprint, nowMs) =>
      assess(fingerprint).counted.map(({ target, atMs }) => ({
        kind: 'loss',
        target,
        fingerprints: [fingerprint],
        ageMs: nowMs - atMs,
      })),
    size: () => entries.size,
  };
};
