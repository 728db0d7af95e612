import * as routing from '@comfreydrum/routing';
import type { DaemonDecisions, DaemonModel } from './createDaemonModel';
import * as engines from './createEngineModel';
import { tokensPerBlock, type TraceRequest } from './createTrace';

/** Parameters of an overload replay. */
export interface OverloadOptions {
  readonly seed: number;
  readonly groupCount: number;
  readonly daemonCount: number;
  readonly maxRunning: number;
  readonly cacheBlocks: number;
  readonly createDaemon: (
    candidates: readonly routing.Candidate[],
    seed: number,
    daemon: number,
  ) => DaemonModel;
  /** Requests that arrive before this time are left out of the outcomes. */
  readonly countFromMs: number;
}

/** The outcome of one request. */
export interface RequestOutcome {
  readonly request: TraceRequest;
  readonly kind: 'in-time' | 'late' | 'refused' | 'abandoned';
  /** Time from the arrival of the request to its end or refusal. */
  readonly afterMs: number;
  readonly firstTokenMs?: number;
  readonly retryAfterMs?: number;
}

interface InFlightRequest {
  readonly request: TraceRequest;
  readonly daemon: DaemonModel;
  targetId: string | undefined;
  firstTokenMs: number | undefined;
}

const failureDomains = ['derby-a', 'notts-b', 'leics-c'];
const expireEveryMs = 10;
const maxDrainMs = 120_000;

/** Replays a trace through complete daemon models, with engine models as targets. */
export const replayOverload = (
  trace: readonly TraceRequest[],
  options: OverloadOptions,
): readonly RequestOutcome[] => {
  const { seed, groupCount, daemonCount, maxRunning } = options;
  const random = routing.createRandom(seed);
  const groups = Array.from({ length: groupCount }, () =>
    engines.createEngineModel({
      maxRunning,
      cacheBlocks: options.cacheBlocks,
      tokensPerBlock,
      slownessAt: () => 1,
    }),
  );
  const candidates = groups.map((_, group): routing.Candidate => ({
    id: `${group}`,
    failureDomain: failureDomains[group % failureDomains.length]!,
    maxConcurrent: routing.concurrencyPerDaemon(maxRunning, daemonCount),
    generation: 1,
  }));
  const daemons = Array.from({ length: daemonCount }, (_, daemon) =>
    options.createDaemon(candidates, seed * 1_000 + daemon, daemon),
  );
  const inFlight = new Map<string, InFlightRequest>();
  const abandonments: { readonly atMs: number; readonly id: string }[] = [];
  const outcomes: RequestOutcome[] = [];

  const recordOutcome = (id: string, kind: RequestOutcome['kind'], nowMs: number, details = {}) => {
    const { request, firstTokenMs } = inFlight.get(id)!;
    inFlight.delete(id);
    const timed = firstTokenMs === undefined ? {} : { firstTokenMs };
    outcomes.push({ request, kind, afterMs: nowMs - request.atMs, ...timed, ...details });
  };

  const applyDecisions = ({ sent, refused }: DaemonDecisions, nowMs: number) => {
    sent.forEach(({ request, targetId }) => {
      Object.assign(inFlight.get(request.id)!, { targetId });
      groups[Number(targetId)]!.submit(request);
    });
    refused.forEach(({ request, retryAfterMs }) =>
      recordOutcome(request.id, 'refused', nowMs, { retryAfterMs }),
    );
  };

  const arrive = (request: TraceRequest, nowMs: number) => {
    const daemon = daemons[random.index(daemonCount)]!;
    inFlight.set(request.id, { request, daemon, targetId: undefined, firstTokenMs: undefined });
    if (request.abandonAfterMs !== undefined) {
      abandonments.push({ atMs: request.atMs + request.abandonAfterMs, id: request.id });
    }
    applyDecisions(daemon.offer(request, nowMs), nowMs);
  };

  const abandon = (id: string, nowMs: number) => {
    const entry = inFlight.get(id);
    if (!entry) return;
    if (entry.targetId !== undefined) groups[Number(entry.targetId)]!.cancel(id);
    recordOutcome(id, 'abandoned', nowMs);
    applyDecisions(entry.daemon.cancel(id, nowMs), nowMs);
  };

  const handleEvent = ({ kind, id }: engines.EngineEvent, nowMs: number) => {
    const entry = inFlight.get(id);
    if (!entry) return;
    const { request, daemon } = entry;
    if (kind !== 'end') {
      if (kind === 'first-token') entry.firstTokenMs = nowMs - request.atMs;
      daemon.onToken(id, kind === 'first-token', nowMs);
      return;
    }
    const isInTime = nowMs <= request.atMs + request.deadlineMs;
    recordOutcome(id, isInTime ? 'in-time' : 'late', nowMs);
    applyDecisions(daemon.onEnd(id, request.outputTokens, nowMs), nowMs);
  };

  const abandonDueRequests = (nowMs: number) =>
    abandonments
      .filter(({ atMs }) => atMs > nowMs - 1 && atMs <= nowMs)
      .forEach(({ id }) => abandon(id, nowMs));

  const advance = (nowMs: number) => {
    groups.forEach((group) => group.advance(nowMs).forEach((event) => handleEvent(event, nowMs)));
    abandonDueRequests(nowMs);
    if (nowMs % expireEveryMs !== 0) return;
    daemons.forEach((daemon) => applyDecisions(daemon.expire(nowMs), nowMs));
  };

  const lastAtMs = trace.at(-1)?.atMs ?? 0;
  let next = 0;
  for (let nowMs = 0; nowMs <= lastAtMs + maxDrainMs; nowMs += 1) {
    while (next < trace.length && trace[next]!.atMs <= nowMs) {
      arrive(trace[next]!, nowMs);
      next += 1;
    }
    advance(nowMs);
    if (next === trace.length && inFlight.size === 0) break;
  }
  [...inFlight.keys()].forEach((id) => recordOutcome(id, 'late', lastAtMs + maxDrainMs));
  return outcomes.filter(({ request }) => request.atMs >= options.countFromMs);
};
