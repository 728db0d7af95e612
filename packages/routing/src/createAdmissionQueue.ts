import type {
  AdmissionDecision,
  AdmissionQueue,
  AdmissionRefusal,
  AdmissionRequest,
  Priority,
  RefusalReason,
} from './AdmissionQueue';
import * as fairQueues from './createFairQueue';
import * as heaps from './createHeap';
import * as regressions from './createLinearRegression';

export interface AdmissionQueueOptions {
  /** Initial number of requests that may run concurrently. */
  readonly capacity: number;
  /**
   * Estimated time for which a slot is occupied per token, used until enough requests have ended.
   */
  readonly slotMsPerToken: number;
  /** Maximum number of queued requests. */
  readonly maxQueued?: number;
  /**
   * Fraction of a customer's service that goes to its batch requests while interactive requests are
   * queued.
   */
  readonly batchShare?: number;
  /**
   * Tokens, per unit of weight, that each other customer may be served before a queued batch
   * request.
   */
  readonly batchPenaltyTokens?: number;
}

interface RunningRequest {
  readonly request: AdmissionRequest;
  readonly startedAtMs: number;
}

const defaultMaxQueued = 4_096;
const defaultBatchShare = 0.1;
const defaultBatchPenaltyTokens = 2_000;
/**
 * Fraction of the time to its deadline that a request may be queued; the rest allows for estimation
 * errors.
 */
const maxWaitFraction: Readonly<Record<Priority, number>> = { interactive: 0.1, batch: 0.25 };
const holdTimeSmoothing = 0.05;
const minRetryAfterMs = 250;
const maxRetryAfterMs = 30_000;
const noCapacityRetryAfterMs = 2_000;

const clampRetryAfter = (durationMs: number) =>
  Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Math.ceil(durationMs)));

/** Creates the admission queue of one model or service. */
export const createAdmissionQueue = (options: AdmissionQueueOptions): AdmissionQueue => {
  const { maxQueued = defaultMaxQueued } = options;
  const running = new Map<string, RunningRequest>();
  const queued = new Map<string, fairQueues.QueuedRequest>();
  const fairQueue = fairQueues.createFairQueue({
    batchShare: options.batchShare ?? defaultBatchShare,
    batchPenaltyTokens: options.batchPenaltyTokens ?? defaultBatchPenaltyTokens,
  });
  const byLatestStart = heaps.createHeap<fairQueues.QueuedRequest>(
    (left, right) => left.latestStartAtMs - right.latestStartAtMs,
  );
  /** Predicts how long a request occupies its slot from its estimated tokens. */
  const holdTimes = regressions.createLinearRegression(holdTimeSmoothing);
  let { capacity } = options;
  let runningTokens = 0;
  let queuedTokens = 0;
  /** Time at which the work of all refused requests would be done if every one were retried. */
  let refusedWorkUntilMs = 0;

  const slotMsPerToken = () => holdTimes.ratio(options.slotMsPerToken);
  const msPerToken = () => slotMsPerToken() / capacity;
  const serviceMs = ({ estimatedTokens }: AdmissionRequest) =>
    holdTimes.predict(estimatedTokens, options.slotMsPerToken);

  const expectedWaitMs = (request: AdmissionRequest, nowMs: number) => {
    const nextSlotMs = (runningTokens / Math.max(1, running.size) / 2) * msPerToken();
    return nextSlotMs + fairQueue.expectedWaitMs(request, 1 / msPerToken(), nowMs);
  };

  const maxWaitMs = (request: AdmissionRequest, nowMs: number) => {
    const remainingMs = request.deadlineAtMs - nowMs;
    const slackMs = Math.max(0, remainingMs - serviceMs(request));
    return Math.min(slackMs, remainingMs * maxWaitFraction[request.priority]);
  };

  const refuse = (
    request: AdmissionRequest,
    reason: RefusalReason,
    waitMs: number,
    nowMs: number,
  ): AdmissionRefusal => {
    const freeAtMs = nowMs + Math.max(0, waitMs - maxWaitMs(request, nowMs));
    refusedWorkUntilMs =
      Math.max(refusedWorkUntilMs, freeAtMs) + request.estimatedTokens * msPerToken();
    refusedWorkUntilMs = Math.min(refusedWorkUntilMs, nowMs + maxRetryAfterMs);
    return {
      kind: 'refused',
      id: request.id,
      reason,
      retryAfterMs: clampRetryAfter(refusedWorkUntilMs - nowMs),
    };
  };

  const start = (request: AdmissionRequest, nowMs: number) => {
    running.set(request.id, { request, startedAtMs: nowMs });
    runningTokens += request.estimatedTokens;
  };

  const untrack = (entry: fairQueues.QueuedRequest) => {
    queued.delete(entry.request.id);
    queuedTokens -= entry.request.estimatedTokens;
    byLatestStart.remove(entry);
  };

  const removeQueued = (entry: fairQueues.QueuedRequest) => {
    fairQueue.remove(entry);
    untrack(entry);
  };

  const fillSlots = (nowMs: number): readonly string[] => {
    const admitted: string[] = [];
    while (running.size < capacity && queued.size > 0) {
      const next = fairQueue.dequeue(nowMs)!;
      untrack(next);
      start(next.request, nowMs);
      admitted.push(next.request.id);
    }
    return admitted;
  };

  const recordCompletion = (
    { request, startedAtMs }: RunningRequest,
    nowMs: number,
    usedTokens: number,
  ) => {
    holdTimes.add(request.estimatedTokens, nowMs - startedAtMs);
    fairQueue.adjustCharge(request, usedTokens - request.estimatedTokens);
  };

  const removeRunning = (id: string): RunningRequest | undefined => {
    const entry = running.get(id);
    if (!entry) return undefined;
    running.delete(id);
    runningTokens -= entry.request.estimatedTokens;
    return entry;
  };

  const enqueue = (
    request: AdmissionRequest,
    waitMs: number,
    latestStartAtMs: number,
  ): AdmissionDecision => {
    const entry = { request, latestStartAtMs };
    queued.set(request.id, entry);
    queuedTokens += request.estimatedTokens;
    byLatestStart.push(entry);
    fairQueue.enqueue(entry);
    return { kind: 'queued', expectedWaitMs: waitMs };
  };

  const offer = (request: AdmissionRequest, nowMs: number): AdmissionDecision => {
    if (running.has(request.id) || queued.has(request.id)) {
      throw new Error(`request "${request.id}" is already running or queued`);
    }
    if (capacity <= 0) {
      const { id } = request;
      return { kind: 'refused', id, reason: 'no-capacity', retryAfterMs: noCapacityRetryAfterMs };
    }
    const latestStartAtMs = request.deadlineAtMs - serviceMs(request);
    if (latestStartAtMs < nowMs) return refuse(request, 'larger-than-deadline', 0, nowMs);
    if (running.size < capacity && queued.size === 0) {
      fairQueue.charge(request, nowMs);
      start(request, nowMs);
      return { kind: 'admitted' };
    }
    const waitMs = expectedWaitMs(request, nowMs);
    if (queued.size >= maxQueued) return refuse(request, 'queue-full', waitMs, nowMs);
    if (waitMs > maxWaitMs(request, nowMs)) return refuse(request, 'deadline', waitMs, nowMs);
    return enqueue(request, waitMs, latestStartAtMs);
  };

  return {
    offer,
    release: (id, nowMs, usedTokens) => {
      const entry = removeRunning(id);
      if (!entry) return [];
      recordCompletion(entry, nowMs, usedTokens ?? entry.request.estimatedTokens);
      return fillSlots(nowMs);
    },
    cancel: (id, nowMs) => {
      const waiting = queued.get(id);
      if (waiting) removeQueued(waiting);
      removeRunning(id);
      return fillSlots(nowMs);
    },
    expire: (nowMs) => {
      const refusals: AdmissionRefusal[] = [];
      for (;;) {
        const first = byLatestStart.peek();
        if (!first || first.latestStartAtMs >= nowMs) return refusals;
        const waitMs = expectedWaitMs(first.request, nowMs);
        removeQueued(first);
        refusals.push(refuse(first.request, 'deadline', waitMs, nowMs));
      }
    },
    nextExpiryAtMs: () => byLatestStart.peek()?.latestStartAtMs,
    setCapacity: (nextCapacity, nowMs) => {
      capacity = nextCapacity;
      return fillSlots(nowMs);
    },
    snapshot: () => ({
      capacity,
      runningCount: running.size,
      queuedCount: queued.size,
      queuedTokens,
      slotMsPerToken: slotMsPerToken(),
    }),
  };
};
