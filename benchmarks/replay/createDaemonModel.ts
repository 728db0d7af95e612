import * as routing from '@comfreydrum/routing';
import type { TraceRequest } from './createTrace';

/** The requests, new or queued, that a daemon sends to a target or refuses at one point in time. */
export interface DaemonDecisions {
  readonly sent: readonly { readonly request: TraceRequest; readonly targetId: string }[];
  readonly refused: readonly { readonly request: TraceRequest; readonly retryAfterMs: number }[];
}

/** The routing and admission decisions of one daemon, in virtual time. */
export interface DaemonModel {
  readonly offer: (request: TraceRequest, nowMs: number) => DaemonDecisions;
  readonly onToken: (id: string, isFirst: boolean, nowMs: number) => void;
  readonly onEnd: (id: string, tokens: number, nowMs: number) => DaemonDecisions;
  readonly cancel: (id: string, nowMs: number) => DaemonDecisions;
  readonly expire: (nowMs: number) => DaemonDecisions;
}

interface SentRequest {
  readonly targetId: string;
  readonly sentAtMs: number;
  lastTokenAtMs: number;
}

const slotMsPerToken = 40;
const firstTokenTargetMs = 1_100;
const betweenTokensTargetMs = 52;
const noDecisions: DaemonDecisions = { sent: [], refused: [] };

/**
 * Creates a daemon that refuses no request and sends each one immediately to the target with the
 * fewest of its requests in flight.
 */
export const createFifoDaemon = (
  candidates: readonly routing.Candidate[],
  seed: number,
): DaemonModel => {
  const router = routing.createRouter({
    strategy: new routing.LeastInFlightStrategy(),
    random: routing.createRandom(seed),
  });
  return {
    offer: (request, nowMs) => {
      const routeRequest = { ...request, triedIds: new Set<string>() };
      const chosen = router.choose(candidates, routeRequest, nowMs)!;
      router.onDispatch(chosen, routeRequest, nowMs);
      return { sent: [{ request, targetId: chosen.id }], refused: [] };
    },
    onToken: () => {},
    onEnd: (id, _tokens, nowMs) => {
      router.onEnd(id, nowMs);
      return noDecisions;
    },
    cancel: (id, nowMs) => {
      router.onEnd(id, nowMs);
      return noDecisions;
    },
    expire: () => noDecisions,
  };
};

/** Creates a daemon with admission control, predictive routing and concurrency limits. */
export const createAdmissionControlDaemon = (
  candidates: readonly routing.Candidate[],
  seed: number,
  domainCost: routing.DomainCost,
): DaemonModel => {
  const router = routing.createRouter({
    strategy: new routing.PredictedFirstTokenStrategy(domainCost),
    random: routing.createRandom(seed),
  });
  const limiters = candidates.map(({ maxConcurrent }) =>
    routing.createConcurrencyLimiter({ maxConcurrent, firstTokenTargetMs, betweenTokensTargetMs }),
  );
  const capacity = () => limiters.reduce((sum, limiter) => sum + limiter.limit(), 0);
  const queue = routing.createAdmissionQueue({ capacity: capacity(), slotMsPerToken });
  const requests = new Map<string, TraceRequest>();
  const sent = new Map<string, SentRequest>();

  const send = (id: string, nowMs: number) => {
    const request = requests.get(id)!;
    const routeRequest = { ...request, triedIds: new Set<string>() };
    const limited = candidates.map((candidate, index) => ({
      ...candidate,
      maxConcurrent: limiters[index]!.limit(),
    }));
    const chosen = router.choose(limited, routeRequest, nowMs)!;
    router.onDispatch(chosen, routeRequest, nowMs);
    sent.set(id, { targetId: chosen.id, sentAtMs: nowMs, lastTokenAtMs: nowMs });
    return { request, targetId: chosen.id };
  };

  const sendAll = (ids: readonly string[], nowMs: number): DaemonDecisions => ({
    sent: ids.map((id) => send(id, nowMs)),
    refused: [],
  });

  const refuse = ({ id, retryAfterMs }: routing.AdmissionRefusal) => {
    const request = requests.get(id)!;
    requests.delete(id);
    return { request, retryAfterMs };
  };

  const remove = (id: string, nowMs: number) => {
    requests.delete(id);
    if (sent.delete(id)) router.onEnd(id, nowMs);
  };

  return {
    offer: (request, nowMs) => {
      requests.set(request.id, request);
      const decision = queue.offer(
        {
          id: request.id,
          customer: request.customer,
          weight: 1,
          priority: request.priority,
          deadlineAtMs: request.atMs + request.deadlineMs,
          estimatedTokens: request.maxTokens,
        },
        nowMs,
      );
      if (decision.kind === 'refused') return { sent: [], refused: [refuse(decision)] };
      return decision.kind === 'admitted' ? sendAll([request.id], nowMs) : noDecisions;
    },
    onToken: (id, isFirst, nowMs) => {
      const entry = sent.get(id)!;
      const limiter = limiters[Number(entry.targetId)]!;
      const inFlight = router.inFlight(entry.targetId);
      const durationMs = nowMs - entry.lastTokenAtMs;
      entry.lastTokenAtMs = nowMs;
      if (isFirst) {
        router.onFirstToken(id, nowMs);
        limiter.onFirstToken(durationMs, inFlight, nowMs);
        return;
      }
      router.onToken(id, nowMs);
      limiter.onBetweenTokens(durationMs, inFlight, nowMs);
    },
    onEnd: (id, tokens, nowMs) => {
      remove(id, nowMs);
      return sendAll(queue.release(id, nowMs, tokens), nowMs);
    },
    cancel: (id, nowMs) => {
      remove(id, nowMs);
      return sendAll(queue.cancel(id, nowMs), nowMs);
    },
    expire: (nowMs) => {
      const admitted = sendAll(queue.setCapacity(capacity(), nowMs), nowMs);
      return { ...admitted, refused: queue.expire(nowMs).map(refuse) };
    },
  };
};
