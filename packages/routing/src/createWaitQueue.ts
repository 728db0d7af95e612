import type { AdmissionRequest } from './AdmissionQueue';
import { createFairQueue, type FairQueue, type QueuedRequest } from './createFairQueue';
import { createHeap } from './createHeap';

/** A request that can't start at once. */
export interface WaitRequest {
  readonly id: string;
  /** Requests of a lower rank go first. */
  readonly rank: number;
  readonly customer: string;
  /** Time for which it will hold a place. */
  readonly holdMs: number;
  /** Latest start that keeps its latency target. */
  readonly dueAtMs: number;
  /** Latest start that leaves it time to complete. */
  readonly latestStartAtMs: number;
  /** When its caller gives up. */
  readonly deadlineAtMs: number;
}

/** The places that requests wait for. */
export interface WaitRoom {
  /** This daemon's part of the places, by its part of the requests that run there. */
  readonly placeCount: number;
  /** Mean time for which a request holds a place. */
  readonly meanHoldMs: number;
}

export interface WaitRefusal {
  readonly kind: 'refused';
  readonly id: string;
  readonly reason: 'queue-full' | 'deadline';
  readonly retryAfterMs: number;
}

export type WaitDecision =
  { readonly kind: 'waiting'; readonly expectedWaitMs: number } | WaitRefusal;

/** Orders the requests that wait for a place, and refuses those that it can't serve in time. */
export interface WaitQueue {
  readonly offer: (request: WaitRequest, room: WaitRoom, nowMs: number) => WaitDecision;
  /** Removes and returns the request that starts next. */
  readonly take: (nowMs: number) => WaitRequest | undefined;
  readonly remove: (id: string) => void;
  /** Removes and refuses the requests that can no longer be served in time. */
  readonly expire: (room: WaitRoom, nowMs: number) => readonly WaitRefusal[];
  /** Refuses a request, with the time after which there is room for it. */
  readonly refuse: (
    request: WaitRequest,
    reason: WaitRefusal['reason'],
    room: WaitRoom,
    nowMs: number,
  ) => WaitRefusal;
  readonly size: () => number;
}

export interface WaitQueueOptions {
  readonly random: () => number;
  readonly maxWaiting?: number;
}

interface Entry {
  readonly request: WaitRequest;
  readonly queued: QueuedRequest;
  readonly enteredAtMs: number;
  /** Whether it goes behind those of its customer that can still keep their latency targets. */
  readonly isLate: boolean;
}

const defaultMaxWaiting = 1_024;
/** One of so many starts goes to the request that has waited longest, whatever its rank and customer. */
const longestWaitInterval = 8;
/** Callers honour no more of the time that they have left. */
const maxRetryFraction = 1 / 3;
const minRetryAfterMs = 50;
/** Spread of the times at which refused callers return. */
const retryJitter = 0.4;
/** Added to the deadline by which a customer's requests are ordered, once the latency target is missed. */
const latePenaltyMs = 1_000_000_000;

const toAdmission = (request: WaitRequest, isLate: boolean): AdmissionRequest => ({
  id: request.id,
  customer: request.customer,
  weight: 1,
  priority: 'interactive',
  deadlineAtMs: isLate ? request.latestStartAtMs + latePenaltyMs : request.dueAtMs,
  estimatedTokens: Math.max(1, request.holdMs),
});

/** Creates an empty queue. Lower ranks go first, customers within a rank share by the time for which they hold places. */
export const createWaitQueue = (options: WaitQueueOptions): WaitQueue => {
  const { maxWaiting = defaultMaxWaiting } = options;
  const entries = new Map<string, Entry>();
  const queuesByRank = new Map<number, FairQueue>();
  const workByRank = new Map<number, number>();
  const byEntry = createHeap<Entry>((one, other) => one.enteredAtMs - other.enteredAtMs);
  const byLatestStart = createHeap<Entry>(
    (one, other) => one.request.latestStartAtMs - other.request.latestStartAtMs,
  );
  const byDue = createHeap<Entry>((one, other) => one.request.dueAtMs - other.request.dueAtMs);
  let takenCount = 0;
  /** When the requests that were refused would all be served if they returned then. */
  let promisedUntilMs = 0;

  const queueOf = (rank: number): FairQueue => {
    const known = queuesByRank.get(rank);
    if (known !== undefined) return known;
    const created = createFairQueue({ batchShare: 0, batchPenaltyTokens: 0 });
    queuesByRank.set(rank, created);
    return created;
  };

  const addWork = (rank: number, holdMs: number) =>
    workByRank.set(rank, Math.max(0, (workByRank.get(rank) ?? 0) + holdMs));

  const untrack = (entry: Entry) => {
    const { request } = entry;
    entries.delete(request.id);
    addWork(request.rank, -request.holdMs);
    byEntry.remove(entry);
    byLatestStart.remove(entry);
    byDue.remove(entry);
  };

  const removeEntry = (entry: Entry) => {
    queueOf(entry.request.rank).remove(entry.queued);
    untrack(entry);
  };

  const enter = (request: WaitRequest, enteredAtMs: number, isLate: boolean) => {
    const queued = {
      request: toAdmission(request, isLate),
      latestStartAtMs: request.latestStartAtMs,
    };
    const entry: Entry = { request, queued, enteredAtMs, isLate };
    entries.set(request.id, entry);
    addWork(request.rank, request.holdMs);
    queueOf(request.rank).enqueue(queued);
    byEntry.push(entry);
    byLatestStart.push(entry);
    if (!isLate) byDue.push(entry);
  };

  /** Puts those that have missed their latency target behind the others of their customers. */
  const demoteLate = (nowMs: number) => {
    for (;;) {
      const first = byDue.peek();
      if (first === undefined || first.request.dueAtMs >= nowMs) return;
      removeEntry(first);
      enter(first.request, first.enteredAtMs, true);
    }
  };

  const expectedWaitMs = (request: WaitRequest, room: WaitRoom, nowMs: number) => {
    const placeCount = Math.max(1, room.placeCount);
    const urgentWorkMs = [...workByRank]
      .filter(([rank]) => rank < request.rank)
      .reduce((sum, [, workMs]) => sum + workMs, 0);
    const fair = queueOf(request.rank);
    const behindMs = fair.expectedWaitMs(toAdmission(request, false), placeCount, nowMs);
    return (room.meanHoldMs + urgentWorkMs) / placeCount + behindMs;
  };

  const refuse: WaitQueue['refuse'] = (request, reason, room, nowMs) => {
    const placeCount = Math.max(1, room.placeCount);
    const acceptableMs = Math.max(0, request.dueAtMs - nowMs);
    const roomInMs = Math.max(0, expectedWaitMs(request, room, nowMs) - acceptableMs);
    promisedUntilMs = Math.max(promisedUntilMs, nowMs + roomInMs) + request.holdMs / placeCount;
    const fraction = options.random();
    const jitter = 1 - retryJitter / 2 + retryJitter * fraction;
    const maxMs = Math.max(0, (request.deadlineAtMs - nowMs) * maxRetryFraction);
    promisedUntilMs = Math.min(promisedUntilMs, nowMs + Math.max(maxMs, roomInMs));
    const wantedMs = Math.max(minRetryAfterMs, (promisedUntilMs - nowMs) * jitter);
    const honouredMs = maxMs * (1 - retryJitter * (1 - fraction));
    const retryAfterMs = Math.min(wantedMs, honouredMs);
    return { kind: 'refused', id: request.id, reason, retryAfterMs };
  };

  return {
    offer: (request, room, nowMs) => {
      demoteLate(nowMs);
      if (entries.size >= maxWaiting) return refuse(request, 'queue-full', room, nowMs);
      const waitMs = expectedWaitMs(request, room, nowMs);
      if (nowMs + waitMs > request.latestStartAtMs) return refuse(request, 'deadline', room, nowMs);
      enter(request, nowMs, nowMs > request.dueAtMs);
      return { kind: 'waiting', expectedWaitMs: waitMs };
    },
    take: (nowMs) => {
      demoteLate(nowMs);
      if (entries.size === 0) return undefined;
      takenCount += 1;
      const longest = byEntry.peek()!;
      if (takenCount % longestWaitInterval === 0) {
        queueOf(longest.request.rank).charge(longest.queued.request, nowMs);
        removeEntry(longest);
        return longest.request;
      }
      const ranks = [...queuesByRank.keys()].sort((one, other) => one - other);
      for (const rank of ranks) {
        const next = queueOf(rank).dequeue(nowMs);
        const entry = next && entries.get(next.request.id);
        if (entry !== undefined) {
          untrack(entry);
          return entry.request;
        }
      }
      return undefined;
    },
    remove: (id) => {
      const entry = entries.get(id);
      if (entry !== undefined) removeEntry(entry);
    },
    expire: (room, nowMs) => {
      const refusals: WaitRefusal[] = [];
      for (;;) {
        const first = byLatestStart.peek();
        if (first === undefined || first.request.latestStartAtMs >= nowMs) return refusals;
        removeEntry(first);
        refusals.push(refuse(first.request, 'deadline', room, nowMs));
      }
    },
    refuse,
    size: () => entries.size,
  };
};
