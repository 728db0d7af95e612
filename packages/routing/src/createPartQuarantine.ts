import { assessPart } from './assessPart';
import type { PartLoss, PartQuarantine, PartStatus } from './PartQuarantine';
import { targetKeyOf, type CrashTarget, type LossUpdate } from './Quarantine';

export interface PartQuarantineOptions {
  /** How long a part stays quarantined, and how long a loss counts. */
  readonly lifetimeMs?: number;
  /** Losses of the same target further apart than this are crashes of successive processes. */
  readonly sameLossMs?: number;
}

const defaultLifetimeMs = 600_000;
const defaultSameLossMs = 500;
/** Completions on other daemons have been reported this long after the first loss of a part. */
const settlingMs = 1_000;
/**
 * While nothing completes, the parts that all requests share look like crashing ones. So a part is quarantined only
 * when this many requests without it have completed since its first loss.
 */
const minOtherCompletions = 2;
/** A part is held back only for the sake of at least this many other requests that were lost beside it. */
const minOtherLostRequests = 2;
/** Within this time a group forms anew and completes a short stream, unless requests keep crashing its members. */
const holdMs = 3_000;
const maxCompletions = 64;
const maxLosses = 512;
const maxRequestsPerLoss = 256;
const maxVerdicts = 1_000;
const maxHolds = 1_000;
const clearStatus: PartStatus = { kind: 'clear' };

interface Completion {
  readonly partIds: readonly string[];
  readonly atMs: number;
}

interface Loss extends PartLoss {
  readonly targetId: string;
  readonly targetKey: string;
  /** Parts that are known not to have caused this loss. */
  readonly clearedPartIds: Set<string>;
  readonly holders: Map<string, Set<string>>;
  /** Fingerprints of all requests that were lost. */
  readonly fingerprints: Set<string>;
  atMs: number;
}

/** Creates a quarantine without losses. */
export const createPartQuarantine = (options: PartQuarantineOptions = {}): PartQuarantine => {
  const { lifetimeMs = defaultLifetimeMs, sameLossMs = defaultSameLossMs } = options;
  const losses = new Set<Loss>();
  /** The losses of which a part is suspected. */
  const lossesOfPart = new Map<string, Set<Loss>>();
  /** The latest requests that completed, oldest first. */
  const completions: Completion[] = [];
  /** Times until which parts are quarantined. */
  const verdicts = new Map<string, number>();
  /** Times until which parts are held. */
  const holds = new Map<string, number>();

  const unlink = (partId: string, loss: Loss) => {
    loss.holders.delete(partId);
    const suspected = lossesOfPart.get(partId);
    suspected?.delete(loss);
    if (suspected?.size === 0) lossesOfPart.delete(partId);
  };

  const dropLoss = (loss: Loss) => {
    losses.delete(loss);
    [...loss.holders.keys()].forEach((partId) => unlink(partId, loss));
  };

  const dropOutdated = (nowMs: number) => {
    losses.forEach((loss) => {
      if (losses.size > maxLosses || nowMs - loss.atMs >= lifetimeMs) dropLoss(loss);
    });
  };

  const findLoss = (targetKey: string, atMs: number): Loss | undefined =>
    [...losses].find(
      (loss) => loss.targetKey === targetKey && Math.abs(loss.atMs - atMs) <= sameLossMs,
    );

  const recordLoss = (target: CrashTarget, atMs: number): Loss => {
    const targetKey = targetKeyOf(target);
    const known = findLoss(targetKey, atMs);
    if (known !== undefined) {
      known.atMs = Math.min(known.atMs, atMs);
      return known;
    }
    const loss: Loss = {
      targetId: target.targetId,
      targetKey,
      atMs,
      holders: new Map(),
      fingerprints: new Set(),
      clearedPartIds: new Set(),
    };
    losses.add(loss);
    return loss;
  };

  const suspect = (partId: string, fingerprint: string, loss: Loss) => {
    if (loss.clearedPartIds.has(partId)) return;
    loss.holders.set(partId, (loss.holders.get(partId) ?? new Set()).add(fingerprint));
    lossesOfPart.set(partId, (lossesOfPart.get(partId) ?? new Set()).add(loss));
  };

  const suspectedLossesOf = (partId: string): readonly Loss[] => [
    ...(lossesOfPart.get(partId) ?? []),
  ];

  const firstLossAtMs = (partId: string): number | undefined => {
    const suspected = suspectedLossesOf(partId);
    return suspected.length === 0 ? undefined : Math.min(...suspected.map(({ atMs }) => atMs));
  };

  const haveOthersCompleted = (partId: string, sinceMs: number): boolean =>
    completions.filter(({ partIds, atMs }) => atMs >= sinceMs && !partIds.includes(partId))
      .length >= minOtherCompletions;

  const clear = (partId: string, isCleared: (loss: Loss) => boolean) =>
    suspectedLossesOf(partId)
      .filter(isCleared)
      .forEach((loss) => {
        loss.clearedPartIds.add(partId);
        unlink(partId, loss);
      });

  const addVerdict = (partId: string, untilMs: number) => {
    verdicts.delete(partId);
    verdicts.set(partId, untilMs);
    const [oldest] = verdicts.keys();
    if (verdicts.size > maxVerdicts) verdicts.delete(oldest!);
  };

  const countOtherLostRequests = (partId: string): number => {
    const suspected = suspectedLossesOf(partId);
    const others = new Set(suspected.flatMap(({ fingerprints }) => [...fingerprints]));
    suspected.forEach(({ holders }) =>
      holders.get(partId)?.forEach((fingerprint) => others.delete(fingerprint)),
    );
    return others.size;
  };

  /** Holds a part back; after a hold, only if another target has been lost with the part since. */
  const hold = (partId: string, nowMs: number): PartStatus => {
    if (countOtherLostRequests(partId) < minOtherLostRequests) return { kind: 'suspect' };
    const earlierMs = holds.get(partId) ?? -Infinity;
    if (earlierMs > nowMs) return { kind: 'held', retryAfterMs: earlierMs - nowMs };
    if (!suspectedLossesOf(partId).some(({ atMs }) => atMs > earlierMs)) return { kind: 'suspect' };
    holds.delete(partId);
    holds.set(partId, nowMs + holdMs);
    const [oldest] = holds.keys();
    if (holds.size > maxHolds) holds.delete(oldest!);
    return { kind: 'held', retryAfterMs: holdMs };
  };

  return {
    check: (partId, nowMs) => {
      const untilMs = verdicts.get(partId);
      if (untilMs !== undefined && untilMs > nowMs) {
        return { kind: 'quarantined', retryAfterMs: untilMs - nowMs };
      }
      verdicts.delete(partId);
      if (nowMs - (firstLossAtMs(partId) ?? nowMs) >= lifetimeMs) dropOutdated(nowMs);
      const firstAtMs = firstLossAtMs(partId);
      if (firstAtMs === undefined) return clearStatus;
      const isSettled = nowMs - firstAtMs >= settlingMs;
      if (!isSettled || !assessPart(partId, suspectedLossesOf)) return { kind: 'suspect' };
      if (!haveOthersCompleted(partId, firstAtMs)) return hold(partId, nowMs);
      addVerdict(partId, nowMs + lifetimeMs);
      return { kind: 'quarantined', retryAfterMs: lifetimeMs };
    },
    onLoss: ({ target, fingerprints, requestParts = [], ageMs }: LossUpdate, nowMs) => {
      if (requestParts.length === 0) return;
      const loss = recordLoss(target, nowMs - ageMs);
      fingerprints
        .slice(0, maxRequestsPerLoss)
        .forEach((fingerprint) => loss.fingerprints.add(fingerprint));
      requestParts
        .slice(0, maxRequestsPerLoss)
        .forEach(({ fingerprint, partIds }) =>
          partIds.forEach((partId) => suspect(partId, fingerprint, loss)),
        );
      dropOutdated(nowMs);
    },
    onRequestCompleted: (partIds, nowMs) => {
      completions.push({ partIds, atMs: nowMs });
      if (completions.length > maxCompletions) completions.shift();
    },
    onCompleted: (partId, sentAtMs) => {
      const firstAtMs = firstLossAtMs(partId);
      // A run that was sent before a part began to crash targets may complete after its quarantine.
      if (verdicts.has(partId) && !(firstAtMs !== undefined && sentAtMs > firstAtMs)) {
        return undefined;
      }
      const targetKeys = [...new Set(suspectedLossesOf(partId).map(({ targetKey }) => targetKey))];
      if (!verdicts.delete(partId) && targetKeys.length === 0) return undefined;
      clear(partId, () => true);
      return targetKeys;
    },
    onCleared: (partId, targetKeys) => {
      const keys = new Set(targetKeys);
      verdicts.delete(partId);
      clear(partId, ({ targetKey }) => keys.has(targetKey));
    },
    onVerdict: (partId, ageMs, nowMs) => addVerdict(partId, nowMs - ageMs + lifetimeMs),
    lostTargetIdsOf: (partId) => suspectedLossesOf(partId).map(({ targetId }) => targetId),
  };
};
