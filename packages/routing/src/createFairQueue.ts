import type { AdmissionRequest, Priority } from './AdmissionQueue';
import * as heaps from './createHeap';

/** A queued request. */
export interface QueuedRequest {
  readonly request: AdmissionRequest;
  /** Latest start time that still meets the deadline. */
  readonly latestStartAtMs: number;
}

/**
 * Orders queued requests fairly between customers by weight, and interactive before batch requests.
 */
export interface FairQueue {
  readonly enqueue: (queued: QueuedRequest) => void;
  readonly remove: (queued: QueuedRequest) => void;
  /** Removes and returns the next request and charges its customer. */
  readonly dequeue: (nowMs: number) => QueuedRequest | undefined;
  /** Charges a customer for a request that starts without being queued. */
  readonly charge: (request: AdmissionRequest, nowMs: number) => void;
  /** Adds tokens to an earlier charge, or subtracts them if `extraTokens` is negative. */
  readonly adjustCharge: (request: AdmissionRequest, extraTokens: number) => void;
  /**
   * Returns the estimated queueing time of a request if all customers together get `totalRate`
   * tokens per millisecond.
   */
  readonly expectedWaitMs: (request: AdmissionRequest, totalRate: number, nowMs: number) => number;
}

export interface FairQueueOptions {
  /**
   * Fraction of a customer's service that goes to its batch requests while interactive requests are
   * queued.
   */
  readonly batchShare: number;
  /**
   * Tokens, per unit of weight, that each other customer may be served before a queued batch
   * request.
   */
  readonly batchPenaltyTokens: number;
}

/**
 * The queued requests of one customer, ordered by deadline, and its state in start-time fair
 * queueing.
 */
interface Flow {
  readonly waiting: Readonly<Record<Priority, heaps.Heap<QueuedRequest>>>;
  readonly queuedTokens: Record<Priority, number>;
  weight: number;
  /** Virtual start time of the customer's next request. */
  startTag: number;
  /**
   * Tokens owed to its batch requests for the interactive requests that were served before them.
   */
  batchCredit: number;
  /** Tokens served, decayed exponentially over `servedWindowMs`. */
  servedTokens: number;
  servedAtMs: number;
}

const servedWindowMs = 2_000;
const maxIdleFlows = 1_024;

const compareQueued = (left: QueuedRequest, right: QueuedRequest) =>
  left.request.deadlineAtMs - right.request.deadlineAtMs;

const hasQueued = ({ waiting }: Flow) => waiting.interactive.size() + waiting.batch.size() > 0;

const isBatchDue = ({ waiting, batchCredit }: Flow) => {
  const first = waiting.batch.peek();
  return first !== undefined && batchCredit >= first.request.estimatedTokens;
};

const headOf = (flow: Flow): QueuedRequest | undefined => {
  const { interactive, batch } = flow.waiting;
  return isBatchDue(flow) ? batch.peek() : (interactive.peek() ?? batch.peek());
};

const decayedTokens = ({ servedTokens, servedAtMs }: Flow, nowMs: number) =>
  servedTokens * Math.exp((servedAtMs - nowMs) / servedWindowMs);

/** Creates an empty queue that schedules customers by start-time fair queueing. */
export const createFairQueue = (options: FairQueueOptions): FairQueue => {
  const { batchShare, batchPenaltyTokens } = options;
  const flows = new Map<string, Flow>();
  let virtualTime = 0;
  let activeWeight = 0;

  const sortTagOf = (flow: Flow) => {
    const isPenalized = flow.waiting.interactive.size() === 0 && !isBatchDue(flow);
    return flow.startTag + (isPenalized ? batchPenaltyTokens : 0);
  };

  const active = heaps.createHeap<Flow>((left, right) => sortTagOf(left) - sortTagOf(right));

  const dropIdleFlows = () => {
    if (flows.size - active.size() <= maxIdleFlows) return;
    flows.forEach((flow, customer) => {
      if (!hasQueued(flow) && flow.startTag <= virtualTime) flows.delete(customer);
    });
  };

  const flowOf = (request: AdmissionRequest): Flow => {
    const known = flows.get(request.customer);
    if (known) return known;
    dropIdleFlows();
    const flow: Flow = {
      waiting: {
        interactive: heaps.createHeap(compareQueued),
        batch: heaps.createHeap(compareQueued),
      },
      queuedTokens: { interactive: 0, batch: 0 },
      weight: request.weight,
      startTag: virtualTime,
      batchCredit: 0,
      servedTokens: 0,
      servedAtMs: 0,
    };
    flows.set(request.customer, flow);
    return flow;
  };

  const activate = (flow: Flow, weight: number) => {
    Object.assign(flow, { weight, startTag: Math.max(flow.startTag, virtualTime) });
    activeWeight += weight;
  };

  const shareOf = (flow: Flow | undefined, weight: number) =>
    weight / (flow && hasQueued(flow) ? activeWeight : activeWeight + weight);

  const remove = (queued: QueuedRequest) => {
    const { customer, priority, estimatedTokens } = queued.request;
    const flow = flows.get(customer);
    if (!flow?.waiting[priority].remove(queued)) return;
    flow.queuedTokens[priority] -= estimatedTokens;
    if (flow.waiting.batch.size() === 0) flow.batchCredit = 0;
    if (hasQueued(flow)) {
      active.update(flow);
      return;
    }
    active.remove(flow);
    activeWeight = active.size() === 0 ? 0 : activeWeight - flow.weight;
  };

  const creditAfter = (flow: Flow, { priority, estimatedTokens }: AdmissionRequest) => {
    if (priority === 'batch') return Math.max(0, flow.batchCredit - estimatedTokens);
    if (flow.waiting.batch.size() === 0) return 0;
    return flow.batchCredit + estimatedTokens * (batchShare / (1 - batchShare));
  };

  const serve = (flow: Flow, request: AdmissionRequest, startTag: number, nowMs: number) => {
    virtualTime = Math.max(startTag, virtualTime);
    Object.assign(flow, {
      startTag: startTag + request.estimatedTokens / request.weight,
      batchCredit: creditAfter(flow, request),
      servedTokens: decayedTokens(flow, nowMs) + request.estimatedTokens,
      servedAtMs: nowMs,
    });
    active.update(flow);
  };

  return {
    enqueue: (queued) => {
      const { priority, weight, estimatedTokens } = queued.request;
      const flow = flowOf(queued.request);
      if (!hasQueued(flow)) activate(flow, weight);
      flow.waiting[priority].push(queued);
      flow.queuedTokens[priority] += estimatedTokens;
      if (active.has(flow)) active.update(flow);
      else active.push(flow);
    },
    remove,
    dequeue: (nowMs) => {
      const flow = active.peek();
      const next = flow && headOf(flow);
      if (!next) return undefined;
      serve(flow, next.request, flow.startTag, nowMs);
      remove(next);
      return next;
    },
    charge: (request, nowMs) => {
      const flow = flowOf(request);
      serve(flow, request, Math.max(flow.startTag, virtualTime), nowMs);
    },
    adjustCharge: (request, extraTokens) => {
      const flow = flows.get(request.customer);
      if (!flow) return;
      flow.startTag += extraTokens / request.weight;
      active.update(flow);
    },
    expectedWaitMs: (request, totalRate, nowMs) => {
      const flow = flows.get(request.customer);
      const served = flow ? decayedTokens(flow, nowMs) / servedWindowMs : 0;
      const rate = Math.max(shareOf(flow, request.weight) * totalRate, served);
      const queued = flow?.queuedTokens ?? { interactive: 0, batch: 0 };
      if (request.priority === 'interactive') {
        const fraction = queued.batch > 0 ? 1 - batchShare : 1;
        return queued.interactive / (rate * fraction);
      }
      const fraction = queued.interactive > 0 ? batchShare : 1;
      const penaltyMs = (batchPenaltyTokens * activeWeight) / totalRate;
      return penaltyMs + queued.batch / (rate * fraction);
    },
  };
};
