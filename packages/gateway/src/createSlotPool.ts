import type * as clock from '@comfreydrum/clock';
import * as routing from '@comfreydrum/routing';
import { createLimiters, type TokenTargets } from './createLimiters';
import { createSlot } from './createSlot';
import { createRefusal } from './Refusal';
import type { Acquisition, Candidate, SlotPool, Work } from './SlotPool';

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

interface Waiting {
  readonly work: Work;
  readonly settle: (acquisition: Acquisition) => void;
}

const refreshMs = 50;
const charactersPerToken = 4;
const firstMeanAnswerTokens = 64;
const answerSmoothing = 0.05;
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
  const waiting = new Map<string, Waiting>();
  let meanAnswerTokens = firstMeanAnswerTokens;
  let refresh: NodeJS.Timeout | undefined;
  /** Assigns slots to admitted requests. Assigned below because releasing a slot calls it again. */
  let settleAll: (ids: readonly string[]) => void = () => {};

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

  const refuseBy = ({ reason, retryAfterMs }: routing.AdmissionRefusal): Acquisition =>
    refuse(reason, refusalTexts[reason], retryAfterMs);

  const limited = (candidates: readonly Candidate[]): readonly Candidate[] =>
    candidates.map((candidate) => {
      const maxConcurrent = options.shareOf(candidate.maxConcurrent);
      const limiter = limiters.of({ ...candidate, maxConcurrent });
      return { ...candidate, maxConcurrent: limiter.limit() };
    });

  const toRouteRequest = (id: string, work: Work): routing.RouteRequest => ({
    id,
    customer: work.customerName,
    prefixHashes: hasher.hashPrefixes(work.prompt),
    promptTokens: Math.ceil(work.prompt.length / charactersPerToken),
    triedIds: work.triedIds,
  });

  const assign = (
    id: string,
    work: Work,
    allCandidates = limited(options.candidates()),
  ): Acquisition => {
    const candidates = work.mayUse ? allCandidates.filter(work.mayUse) : allCandidates;
    const request = toRouteRequest(id, work);
    const chosen = router.choose(candidates, request, nowMs());
    const candidate = candidates.find((other) => other.id === chosen?.id);
    if (candidate === undefined) {
      settleAll(queue.cancel(id, nowMs()));
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
          meanAnswerTokens += answerSmoothing * (tokenCount - meanAnswerTokens);
        }
        settleAll(queue.release(id, nowMs(), tokenCount));
      },
      onGiveBack: () => settleAll(queue.cancel(id, nowMs())),
    });
    return { kind: 'slot', slot };
  };

  const settle = (id: string, acquire: (work: Work) => Acquisition) => {
    const entry = waiting.get(id);
    if (entry === undefined) return;
    waiting.delete(id);
    entry.settle(acquire(entry.work));
  };

  settleAll = (ids) => ids.forEach((id) => settle(id, (work) => assign(id, work)));

  /** Updates the queue capacity and returns the current candidates with their limits. */
  const updateCapacity = (): readonly Candidate[] => {
    const unlimited = options.candidates();
    const candidates = limited(unlimited);
    limiters.keep(candidates);
    const limit = sumConcurrency(candidates);
    // With more daemons than slots per target, the sum of the per-target shares exceeds the total share.
    const share = options.shareOf(sumConcurrency(unlimited));
    settleAll(queue.setCapacity(Math.min(limit, share), nowMs()));
    return candidates;
  };

  const refreshQueue = () => {
    updateCapacity();
    queue.expire(nowMs()).forEach((refusal) => settle(refusal.id, () => refuseBy(refusal)));
    if (waiting.size > 0) return;
    clearInterval(refresh);
    refresh = undefined;
  };

  const wait = (id: string, work: Work, signal: AbortSignal): Promise<Acquisition> =>
    new Promise((resolve) => {
      waiting.set(id, { work, settle: resolve });
      refresh ??= setInterval(refreshQueue, refreshMs);
      signal.addEventListener(
        'abort',
        () => {
          if (!waiting.delete(id)) return;
          settleAll(queue.cancel(id, nowMs()));
          resolve(refuse('caller-gone', 'the caller closed the connection', noTargetRetryAfterMs));
        },
        { once: true },
      );
    });

  return {
    acquire: async (work, signal) => {
      const candidates = updateCapacity();
      const id = `${work.requestId}/${work.triedIds.size}`;
      const decision = queue.offer(
        {
          id,
          customer: work.customerName,
          weight: work.customerWeight,
          priority: work.priority,
          deadlineAtMs: work.deadlineAtMs,
          estimatedTokens: Math.min(meanAnswerTokens, work.maxAnswerTokens ?? Infinity),
        },
        nowMs(),
      );
      if (decision.kind === 'refused') return refuseBy(decision);
      return decision.kind === 'admitted' ? assign(id, work, candidates) : wait(id, work, signal);
    },
  };
};
