import type * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import type * as lifecycle from '@comfreydrum/lifecycle';
import * as routing from '@comfreydrum/routing';
import type { RequestContext } from '../RequestContext';
import type { DispatchForecast } from './createPlacing';

/** How a request's wait for a place ended. */
export type WaitOutcome =
  | { readonly kind: 'granted' }
  /** The request may no longer be sent, or its caller has gone. */
  | { readonly kind: 'withdrawn' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** A request that waits, and how it learns whether it can start. */
export interface DispatchRequest {
  readonly context: RequestContext;
  /** Returns what is expected of the request now; undefined if no target serves it. */
  readonly forecast: () => DispatchForecast | undefined;
  /** Whether the request may no longer be sent. */
  readonly isWithdrawn: () => boolean;
}

/** Lets requests wait for a place at a target, one queue for each model of a service. */
export interface DispatchQueues {
  /** Reports whether other requests wait for the same targets. */
  readonly isBusy: (context: RequestContext) => boolean;
  readonly wait: (request: DispatchRequest) => Promise<WaitOutcome>;
  /** Like `wait`; calls `onOutcome` in the tick in which the wait ends. */
  readonly enter: (request: DispatchRequest, onOutcome: (outcome: WaitOutcome) => void) => void;
  /** Notices what has changed without an event of this daemon; called regularly once the component is started. */
  readonly tick: () => void;
  /** Called when a request has ended, which may have freed a place. */
  readonly onEnd: (context: RequestContext) => void;
  readonly waitingCount: () => number;
  /** Returns how long a request has waited; undefined if it has not. */
  readonly waitedMsOf: (request: RequestContext['request']) => number | undefined;
  /** Refuses what still waits after this time, and from now on what can't start at once. */
  readonly drain: (afterMs: number) => void;
  readonly component: lifecycle.Component;
}

export interface DispatchQueuesOptions {
  readonly clock: clocks.Clock;
  readonly random: () => number;
  /** Calls a function once a request that may start has been counted at its target. */
  readonly defer?: (then: () => void) => void;
  readonly onOutcome: (
    service: fleet.Service,
    outcome: WaitOutcome['kind'],
    waitedMs: number,
  ) => void;
}

interface Waiting {
  readonly request: DispatchRequest;
  readonly enteredAtMs: number;
  readonly settle: (outcome: WaitOutcome) => void;
}

interface ModelQueue {
  readonly order: routing.WaitQueue;
  readonly waiting: Map<string, Waiting>;
  /** What was last known of the places. */
  room: routing.WaitRoom;
  /** Starts that remain until the other daemons' loads are known again. */
  credit: number;
  creditAtMs: number;
  isPumping: boolean;
}

/** Reports, expiries and changes of targets are noticed within this time. */
const tickMs = 50;
/** A request that starts later than this fraction of its remaining time is refused instead. */
const maxWaitFraction = 0.5;
/** The priority of a customer goes before that of the route. */
const customerRankFactor = 1_000;

/** Callers leave a stream that delivers nothing for this long, or for these multiples of its targets if that is longer. */
const minPatienceMs = 2_000;
const patienceInLatencyTargets = 4;
const patienceInGapTargets = 8;

const patienceMsOf = ({ latencyTargetMs, gapTargetMs = 0 }: fleet.Route): number =>
  Math.max(
    minPatienceMs,
    latencyTargetMs * patienceInLatencyTargets,
    gapTargetMs * patienceInGapTargets,
  );

const queueKeyOf = ({ service, request }: RequestContext) => `${service.name} ${request.modelName}`;

const rankOf = ({ route, customerPriority }: RequestContext): number =>
  (customerPriority ?? route.priority) * customerRankFactor + route.priority;

const toWaitRequest = (
  id: string,
  context: RequestContext,
  { holdMs, firstEventMs }: DispatchForecast,
  nowMs: number,
): routing.WaitRequest => {
  const { route, arrivedAtMs, deadlineAtMs } = context;
  return {
    id,
    rank: rankOf(context),
    customer: context.customerName ?? '',
    holdMs,
    dueAtMs: arrivedAtMs + route.latencyTargetMs - firstEventMs,
    // The length of an output is uncertain, so a long one may wait a little too.
    latestStartAtMs: Math.min(
      Math.max(deadlineAtMs - holdMs, nowMs + route.latencyTargetMs),
      nowMs + (deadlineAtMs - nowMs) * maxWaitFraction,
      arrivedAtMs + patienceMsOf(route) - firstEventMs,
    ),
    deadlineAtMs,
  };
};

/** Creates queues in which nothing waits. */
export const createDispatchQueues = (options: DispatchQueuesOptions): DispatchQueues => {
  const { clock, random, defer = setImmediate } = options;
  const queues = new Map<string, ModelQueue>();
  const waitedMsByRequest = new WeakMap<RequestContext['request'], number>();
  let nextId = 0;
  let timer: NodeJS.Timeout | undefined;
  let drainTimer: NodeJS.Timeout | undefined;
  let isDraining = false;

  const queueOf = (key: string): ModelQueue => {
    const known = queues.get(key);
    if (known !== undefined) return known;
    const created: ModelQueue = {
      order: routing.createWaitQueue({ random }),
      waiting: new Map(),
      room: { placeCount: 1, meanHoldMs: 0 },
      credit: 0,
      creditAtMs: -Infinity,
      isPumping: false,
    };
    queues.set(key, created);
    return created;
  };

  const waitingCount = () =>
    [...queues.values()].reduce((sum, { waiting }) => sum + waiting.size, 0);

  const settle = (queue: ModelQueue, id: string, outcome: WaitOutcome) => {
    const waiting = queue.waiting.get(id);
    if (waiting === undefined) return;
    queue.waiting.delete(id);
    queue.order.remove(id);
    const waitedMs = clock.monotonicMs() - waiting.enteredAtMs;
    const { service, request } = waiting.request.context;
    waitedMsByRequest.set(request, waitedMs);
    options.onOutcome(service, outcome.kind, waitedMs);
    waiting.settle(outcome);
  };

  const removeWithdrawn = (queue: ModelQueue) =>
    queue.waiting.forEach(({ request }, id) => {
      if (request.isWithdrawn()) settle(queue, id, { kind: 'withdrawn' });
    });

  const expire = (queue: ModelQueue) =>
    queue.order.expire(queue.room, clock.monotonicMs()).forEach(({ id, retryAfterMs }) => {
      settle(queue, id, { kind: 'refused', retryAfterMs });
    });

  /** Returns whether a place is expected to be free for this daemon. */
  const hasRoom = (queue: ModelQueue): boolean => {
    const [first] = queue.waiting.values();
    const forecast = first?.request.forecast();
    if (forecast === undefined) return false;
    Object.assign(queue, { room: forecast.room });
    // The other daemons see the same free places, so each takes its part until it knows more.
    if (forecast.reportedAtMs > queue.creditAtMs) {
      const credit = Math.max(1, Math.ceil(forecast.freePlaceCount * forecast.ownShare));
      Object.assign(queue, { credit, creditAtMs: forecast.reportedAtMs });
    }
    return forecast.hasPlace && queue.credit > 0;
  };

  /** Starts what can start, one at a time, so that each is counted before the next one is placed. */
  const pump = (queue: ModelQueue) => {
    if (queue.isPumping || queue.waiting.size === 0 || !hasRoom(queue)) return;
    const next = queue.order.take(clock.monotonicMs());
    if (next === undefined) return;
    Object.assign(queue, { credit: queue.credit - 1, isPumping: true });
    settle(queue, next.id, { kind: 'granted' });
    defer(() => {
      Object.assign(queue, { isPumping: false });
      pump(queue);
    });
  };

  const tick = () =>
    queues.forEach((queue) => {
      removeWithdrawn(queue);
      expire(queue);
      pump(queue);
    });

  const refuseAll = () =>
    queues.forEach((queue) =>
      queue.waiting.forEach((_, id) => {
        settle(queue, id, { kind: 'refused', retryAfterMs: tickMs });
      }),
    );

  const enter: DispatchQueues['enter'] = (request, onOutcome) => {
    const { context } = request;
    const forecast = request.forecast();
    const nowMs = clock.monotonicMs();
    const refuse = (retryAfterMs: number) => {
      options.onOutcome(context.service, 'refused', 0);
      onOutcome({ kind: 'refused', retryAfterMs });
    };
    if (forecast === undefined || isDraining) {
      refuse(tickMs);
      return;
    }
    const queue = queueOf(queueKeyOf(context));
    Object.assign(queue, { room: forecast.room });
    nextId += 1;
    const id = String(nextId);
    const waitRequest = toWaitRequest(id, context, forecast, nowMs);
    const decision = queue.order.offer(waitRequest, forecast.room, nowMs);
    if (decision.kind === 'refused') {
      refuse(decision.retryAfterMs);
      return;
    }
    const onGone = () => settle(queue, id, { kind: 'withdrawn' });
    context.callerDisconnected.addEventListener('abort', onGone, { once: true });
    const end = (outcome: WaitOutcome) => {
      context.callerDisconnected.removeEventListener('abort', onGone);
      onOutcome(outcome);
    };
    queue.waiting.set(id, { request, enteredAtMs: nowMs, settle: end });
    pump(queue);
  };

  return {
    isBusy: (context) => (queues.get(queueKeyOf(context))?.waiting.size ?? 0) > 0,
    wait: (request) =>
      new Promise((resolve) => {
        enter(request, resolve);
      }),
    enter,
    tick,
    onEnd: (context) => {
      const queue = queues.get(queueKeyOf(context));
      if (queue === undefined) return;
      Object.assign(queue, { credit: queue.credit + 1 });
      pump(queue);
    },
    waitingCount,
    waitedMsOf: (request) => waitedMsByRequest.get(request),
    drain: (afterMs) => {
      isDraining = true;
      drainTimer = setTimeout(refuseAll, afterMs);
    },
    component: {
      name: 'dispatch queues',
      start: () => {
        timer = setInterval(tick, tickMs);
      },
      stop: () => {
        clearInterval(timer);
        clearTimeout(drainTimer);
        refuseAll();
      },
    },
  };
};
