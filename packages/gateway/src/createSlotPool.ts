import type * as clock from '@comfreydrum/clock';
import * as routing from '@comfreydrum/routing';
import { createLimiters, type TokenTargets } from './createLimiters';
import { createSlot } from './createSlot';
import { createRefusal } from './Refusal';
import type { Acquisition, Candidate, SlotPool, SlotRequest } from './SlotPool';

/** Options of a slot pool. */
export interface SlotPoolOptions {
  readonly name: string;
  readonly clock: clock.Clock;
  readonly candidates: () => readonly Candidate[];
  readonly router: routing.Router;
  readonly hasher: routing.PrefixHasher;
  readonly targets: TokenTargets;
  /** Initial estimate of the slot time per token, used until requests have completed. */
  readonly slotMsPerToken: number;
  /** Returns this daemon's share of a concurrency limit that applies to all daemons together. */
  readonly shareOf: (maxConcurrent: number) => number;
}

interface WaitingRequest {
  readonly slotRequest: SlotRequest;
  readonly settle: (acquisition: Acquisition) => void;
}

const refreshIntervalMs = 50;
const charactersPerToken = 4;
const initialMeanOutputTokens = 64;
const outputTokensSmoothing = 0.05;
const noTargetRetryAfterMs = 1_000;

const refusalTexts: Readonly<Record<routing.RefusalReason, string>> = {
  'no-capacity': 'no target may be given work now',
  'queue-full': 'too many requests wait',
  deadline: 'the request can not start in time to meet its deadline',
  'larger-than-deadline': 'the request is too large for its deadline',
};

const sumConcurrency = (candidates: readonly Candidate[]): number =>
  candidates.reduce((sum, { maxConcurrent }) => sum + maxConcurrent, 0);

/** Creates a slot pool. Its candidates may change between calls. */
export const createSlotPool = (options: SlotPoolOptions): SlotPool => {
  const { name, router, hasher } = options;
  const nowMs = () => options.clock.monotonicMs();
  const limiters = createLimiters(options.targets);
  const queue = routing.createAdmissionQueue({
    capacity: 0,
    slotMsPerToken: options.slotMsPerToken,
  });
  const waiting = new Map<string, WaitingRequest>();
  let meanOutputTokens = initialMeanOutputTokens;
  let refreshTimer: NodeJS.Timeout | undefined;
  /** Assigns slots to admitted requests. Assigned below because releasing a slot calls it again. */
  let assignAdmitted: (ids: readonly string[]) => void = () => {};

  const refuse = (code: string, text: string, retryAfterMs: number): Acquisition => ({
    kind: 'refused',
    refusal: createRefusal({
      step: 'admission',
      statusCode: 503,
      code: code.replaceAll('-', '_'),
      message: `${name}: ${text}`,
      retryAfterMs,
    }),
  });

  const toRefusal = ({ reason, retryAfterMs }: routing.AdmissionRefusal): Acquisition =>
    refuse(reason, refusalTexts[reason], retryAfterMs);

  const applyLimits = (candidates: readonly Candidate[]): readonly Candidate[] =>
    candidates.map((candidate) => {
      const maxConcurrent = options.shareOf(candidate.maxConcurrent);
      const limiter = limiters.of({ ...candidate, maxConcurrent });
      return { ...candidate, maxConcurrent: limiter.limit() };
    });

  const toRouteRequest = (id: string, slotRequest: SlotRequest): routing.RouteRequest => ({
    id,
    customer: slotRequest.customerName,
    prefixHashes: hasher.hashPrefixes(slotRequest.prompt),
    promptTokens: Math.ceil(slotRequest.prompt.length / charactersPerToken),
    triedIds: slotRequest.triedIds,
  });

  const assign = (
    id: string,
    slotRequest: SlotRequest,
    allCandidates = applyLimits(options.candidates()),
  ): Acquisition => {
    const candidates = slotRequest.mayUse
      ? allCandidates.filter(slotRequest.mayUse)
      : allCandidates;
    const request = toRouteRequest(id, slotRequest);
    const choice = router.choose(candidates, request, nowMs());
    const candidate = candidates.find((other) => other.id === choice?.id);
    if (candidate === undefined) {
      assignAdmitted(queue.cancel(id, nowMs()));
      return refuse('no-target', 'no other target may be given work now', noTargetRetryAfterMs);
    }
    const slot = createSlot({
      candidate,
      candidateCount: candidates.length,
      router,
      request,
      limiter: limiters.of(candidate),
      nowMs,
      onRelease: (tokenCount) => {
        if (tokenCount > 0) {
          meanOutputTokens += outputTokensSmoothing * (tokenCount - meanOutputTokens);
        }
        assignAdmitted(queue.release(id, nowMs(), tokenCount));
      },
      onCancel: () => assignAdmitted(queue.cancel(id, nowMs())),
    });
    return { kind: 'slot', slot };
  };

  const settle = (id: string, acquire: (slotRequest: SlotRequest) => Acquisition) => {
    const entry = waiting.get(id);
    if (entry === undefined) return;
    waiting.delete(id);
    entry.settle(acquire(entry.slotRequest));
  };

  assignAdmitted = (ids) =>
    ids.forEach((id) => settle(id, (slotRequest) => assign(id, slotRequest)));

  /** Updates the queue capacity and returns the current candidates with their limits. */
  const updateCapacity = (): readonly Candidate[] => {
    const configured = options.candidates();
    const candidates = applyLimits(configured);
    limiters.retain(candidates);
    const limit = sumConcurrency(candidates);
    // With more daemons than slots per target, the sum of the per-target shares exceeds the total share.
    const share = options.shareOf(sumConcurrency(configured));
    assignAdmitted(queue.setCapacity(Math.min(limit, share), nowMs()));
    return candidates;
  };

  const refreshQueue = () => {
    updateCapacity();
    queue.expire(nowMs()).forEach((refusal) => settle(refusal.id, () => toRefusal(refusal)));
    if (waiting.size > 0) return;
    clearInterval(refreshTimer);
    refreshTimer = undefined;
  };

  const wait = (id: string, slotRequest: SlotRequest, signal: AbortSignal): Promise<Acquisition> =>
    new Promise((resolve) => {
      waiting.set(id, { slotRequest, settle: resolve });
      refreshTimer ??= setInterval(refreshQueue, refreshIntervalMs);
      signal.addEventListener(
        'abort',
        () => {
          if (!waiting.delete(id)) return;
          assignAdmitted(queue.cancel(id, nowMs()));
          resolve(refuse('caller-gone', 'the caller closed the connection', noTargetRetryAfterMs));
        },
        { once: true },
      );
    });

  return {
    acquire: async (slotRequest, signal) => {
      const candidates = updateCapacity();
      const id = `${slotRequest.requestId}/${slotRequest.triedIds.size}`;
      const decision = queue.offer(
        {
          id,
          customer: slotRequest.customerName,
          weight: slotRequest.customerWeight,
          priority: slotRequest.priority,
          deadlineAtMs: slotRequest.deadlineAtMs,
          estimatedTokens: Math.min(meanOutputTokens, slotRequest.maxOutputTokens ?? Infinity),
        },
        nowMs(),
      );
      if (decision.kind === 'refused') return toRefusal(decision);
      return decision.kind === 'admitted'
        ? assign(id, slotRequest, candidates)
        : wait(id, slotRequest, signal);
    },
  };
};
