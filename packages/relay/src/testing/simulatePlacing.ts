import type * as fleet from '@comfreydrum/fleet';
import * as routing from '@comfreydrum/routing';
import type { CallerRequest } from '../CallerRequest';
import { chooseTarget, hasFreeSlot, type Candidate } from '../chooseTarget';
import { createTargetTracker, type TargetTracker } from '../createTargetTracker';
import { createDispatchQueues, type DispatchQueues } from '../placing/createDispatchQueues';
import { createPlacing, type Placing } from '../placing/createPlacing';
import type { RequestContext } from '../RequestContext';
import { createSimulatedHead } from './createSimulatedHead';

/** A fleet of daemons and heads, and the requests of callers. */
export interface SimulatedFleet {
  readonly domainCount: number;
  readonly headCount: number;
  readonly daemonCount: number;
  /** Mean fraction of the places of the heads that are taken if the load is even. */
  readonly utilization: number;
  /** Slowest head relative to the fastest. */
  readonly maxSlowness: number;
  /** Standard deviation of the logarithm of the token counts. */
  readonly sizeSpread: number;
  readonly checkInIntervalMs: number;
  readonly durationMs: number;
}

export interface PlacingResult {
  /** Fraction of the streams whose first event came after the latency target, or never. */
  readonly lateFraction: number;
  readonly refusedFraction: number;
  /** Fraction of the streams that had to wait for a place at their head. */
  readonly queuedFraction: number;
  readonly otherDomainFraction: number;
  readonly medianFirstEventMs: number;
}

interface Daemon {
  readonly domain: number;
  readonly tracker: TargetTracker;
  readonly placing: Placing;
  readonly queues: DispatchQueues;
  published: Readonly<Record<string, number>>;
  publishedAtMs: number;
  received: Readonly<Record<string, number>>;
  /** Mean time of the reports that the received loads consist of. */
  reportedAtMs: number;
  nextAtMs: number;
}

/** A stream that a caller asks for. */
interface Arrival {
  readonly request: CallerRequest;
  readonly size: { readonly promptTokens: number; readonly outputTokens: number };
  readonly arrivedAtMs: number;
  readonly isCounted: boolean;
}

const msPerSecond = 1_000;
const meanTokens = { prompt: 714, output: 115 };
const maxTokens = { prompt: 32_000, output: 1_000 };
const modelName = 'model';
const costs: fleet.EngineCosts = {
  memoryTokensPerGroup: 988_235,
  stepMsPerThousandContextTokens: 0.01,
  promptMsPerMillionPairs: 0.5,
  promptTokensPerStep: 2_048,
  usualPromptTokens: meanTokens.prompt,
  usualOutputTokens: meanTokens.output,
};
const engine: fleet.EngineProfile = {
  slotsPerGroup: 24,
  models: [
    { name: modelName, groupSize: 4, paceFactor: 1, demandShare: 1, loadMs: 1, stagedJoinMs: 1 },
  ],
  stepMs: 6,
  stepMsPerRequest: 0.2,
  stepsPerEvent: 5,
  promptTokensPerSecond: 46_000,
  concurrentLoads: 1,
  loadStartsPerSecond: 1,
  costs,
};
const service: fleet.Service = { name: 'service', maxConnections: 800, engine };
const route: fleet.Route = {
  name: 'route',
  host: 'h',
  pathPrefix: '/',
  kind: 'stream',
  isResumable: true,
  isPublic: true,
  timeoutMs: 6_000,
  latencyTargetMs: 251,
  gapTargetMs: 200,
  priority: 0,
  maxTargets: 2,
  shares: [],
};
const hintSpread = 0.8;
/** What callers are told without a prediction. */
const fixedRetryAfterMs = 1_200;
const maxAttempts = 2;
const tickMs = 50;
/** Longer than the first streams take, so that only a steady load is measured. */
const warmUpMs = 5_000;

const drawNormal = (random: routing.Random): number =>
  Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());

/** Draws a token count with a lognormal distribution around the given mean. */
const drawTokens = (mean: number, max: number, spread: number, random: routing.Random): number => {
  const tokens = mean * Math.exp(spread * drawNormal(random) - spread ** 2 / 2);
  return Math.round(Math.min(max, Math.max(5, tokens)));
};

/** Returns the arrivals a second that fill the given fraction of the places of one head of normal speed. */
const arrivalsPerHead = (utilization: number): number => {
  const count = utilization * engine.slotsPerGroup;
  const passes = meanTokens.output / engine.stepsPerEvent;
  const readMs = (meanTokens.prompt / engine.promptTokensPerSecond) * msPerSecond;
  const stepMs = engine.stepMs + count * engine.stepMsPerRequest;
  const passMs = engine.stepsPerEvent * stepMs + (count * readMs) / passes;
  return (count / (passes * passMs + readMs)) * msPerSecond;
};

const callerRequest = (size: CallerRequest['size'], id: number): CallerRequest => ({
  requestId: String(id),
  method: 'POST',
  host: 'h',
  url: '/',
  path: '/',
  headers: [],
  key: undefined,
  timeLimitMs: undefined,
  modelName,
  size,
  promptPartIds: [],
  lastEventId: undefined,
  handover: undefined,
});

/** Simulates streams at daemons that choose heads by number of requests, or by predicted cost. */
export const simulatePlacing = (
  simulated: SimulatedFleet,
  policy: 'by-number' | 'by-cost',
  seed: number,
): PlacingResult => {
  // Both policies get the same requests at the same times.
  const random = routing.createRandom(seed);
  const choiceRandom = routing.createRandom(seed + 1_000);
  const { headCount, daemonCount, domainCount, maxSlowness } = simulated;
  let nowMs = 0;
  const heads = Array.from({ length: headCount }, (_, index) => {
    const slowness =
      maxSlowness **
      (Math.floor(index / domainCount) / Math.max(1, Math.ceil(headCount / domainCount) - 1));
    return {
      key: `head-${index}`,
      domain: index % domainCount,
      slowness,
      head: createSimulatedHead(engine, costs, slowness),
    };
  });
  const daemons = Array.from({ length: daemonCount }, (_, index): Daemon => {
    const daemon: Daemon = {
      domain: index % domainCount,
      tracker: createTargetTracker(),
      placing: createPlacing({ otherLoadsAgeMs: () => nowMs - daemon.reportedAtMs }),
      queues: createDispatchQueues({
        clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
        random: choiceRandom.fraction,
        defer: (then) => then(),
        onOutcome: () => {},
      }),
      published: {},
      publishedAtMs: 0,
      received: {},
      reportedAtMs: 0,
      nextAtMs: random.fraction() * simulated.checkInIntervalMs,
    };
    return daemon;
  });
  const capacity = heads.reduce((sum, { slowness }) => sum + 1 / slowness, 0);
  const arrivalsPerMs = (arrivalsPerHead(simulated.utilization) * capacity) / msPerSecond;
  const firstEventMs: number[] = [];
  let scheduled: { readonly atMs: number; readonly run: () => void }[] = [];
  let countedCount = 0;
  let sentCount = 0;
  let refusedCount = 0;
  let queuedCount = 0;
  let otherDomainCount = 0;
  let arrivedCount = 0;

  const checkIn = (daemon: Daemon) => {
    Object.assign(daemon, { published: daemon.tracker.loads(), publishedAtMs: nowMs });
    const sums: Record<string, number> = {};
    daemons.forEach(({ published }) => {
      if (published === daemon.published) return;
      Object.entries(published).forEach(([key, count]) => {
        sums[key] = (sums[key] ?? 0) + count;
      });
    });
    const publishedSum = daemons.reduce((sum, { publishedAtMs }) => sum + publishedAtMs, 0);
    Object.assign(daemon, {
      received: sums,
      reportedAtMs: publishedSum / daemonCount,
      nextAtMs: nowMs + simulated.checkInIntervalMs * (0.8 + 0.4 * choiceRandom.fraction()),
    });
  };

  const candidateOf = (daemon: Daemon, { key, domain }: (typeof heads)[number]): Candidate => ({
    key,
    targetId: key,
    startedAtMs: 1,
    failureDomain: String(domain),
    address: '127.0.0.1:1',
    groupKey: key,
    isSameDomain: domain === daemon.domain,
    slots: engine.slotsPerGroup,
    expectedMs:
      (engine.stepMs + (engine.stepMsPerRequest * engine.slotsPerGroup) / 2) * engine.stepsPerEvent,
    otherInFlight: daemon.received[key] ?? 0,
    stats: daemon.tracker.read(key, nowMs),
  });

  const schedule = (atMs: number, run: () => void) => scheduled.push({ atMs, run });

  const contextOf = (request: CallerRequest, timeLeftMs: number): RequestContext =>
    ({
      request,
      route,
      service,
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + timeLeftMs,
      callerDisconnected: new AbortController().signal,
    }) as unknown as RequestContext;

  /** Sends a stream to a head. */
  const send = (daemon: Daemon, stream: Arrival, context: RequestContext, chosen: Candidate) => {
    const { head, domain } = heads.find(({ key }) => key === chosen.key)!;
    const run = daemon.placing.start(context, chosen, nowMs);
    daemon.tracker.onSend(chosen.key, nowMs);
    let lastEventAtMs: number | undefined;
    const mustWait = head.add(
      {
        ...stream.size,
        onEvent: (atMs) => {
          const gapMs = lastEventAtMs === undefined ? undefined : atMs - lastEventAtMs;
          if (gapMs !== undefined) daemon.tracker.onGap(chosen.key, gapMs);
          else if (stream.isCounted) firstEventMs.push(atMs - stream.arrivedAtMs);
          lastEventAtMs = atMs;
          run.onEvent(gapMs, atMs);
        },
        onEnd: (atMs) => {
          daemon.tracker.onEnd(chosen.key);
          run.onEnd(true, atMs);
          daemon.queues.onEnd(context);
        },
      },
      nowMs,
    );
    if (!stream.isCounted) return;
    sentCount += 1;
    if (mustWait) queuedCount += 1;
    if (domain !== daemon.domain) otherDomainCount += 1;
  };

  const attempt = (stream: Arrival, attemptsLeft: number) => {
    const daemon = daemons[choiceRandom.index(daemonCount)]!;
    const timeLeftMs = route.timeoutMs - (nowMs - stream.arrivedAtMs);
    const context = contextOf(stream.request, timeLeftMs);
    const list = () => heads.map((head) => candidateOf(daemon, head));
    const choice = () => ({ nowMs, random: choiceRandom.fraction });

    const refuse = (retryAfterMs: number) => {
      const mayReturn = attemptsLeft > 1 && retryAfterMs < timeLeftMs;
      if (mayReturn) schedule(nowMs + retryAfterMs, () => attempt(stream, attemptsLeft - 1));
      else if (stream.isCounted) refusedCount += 1;
    };

    if (policy === 'by-number') {
      const chosen = chooseTarget(list(), choice())!;
      if (hasFreeSlot(chosen)) send(daemon, stream, context, chosen);
      else refuse(fixedRetryAfterMs);
      return;
    }
    const forecast = () => daemon.placing.forecast(context, list(), nowMs);
    const sendByCost = () =>
      send(daemon, stream, context, daemon.placing.choose(context, list(), choice())!);
    if (forecast()!.hasPlace && !daemon.queues.isBusy(context)) {
      sendByCost();
      return;
    }
    daemon.queues.enter({ context, forecast, isWithdrawn: () => false }, (outcome) => {
      if (outcome.kind === 'granted') sendByCost();
      else if (outcome.kind === 'refused') refuse(outcome.retryAfterMs);
    });
  };

  const arrive = () => {
    const { sizeSpread } = simulated;
    const promptTokens = drawTokens(meanTokens.prompt, maxTokens.prompt, sizeSpread, random);
    const outputTokens = drawTokens(meanTokens.output, maxTokens.output, sizeSpread / 2, random);
    const hint = Math.round(outputTokens * Math.exp(hintSpread * drawNormal(random)));
    const claimed = { promptTokens, maxOutputTokens: maxTokens.output, expectedOutputTokens: hint };
    arrivedCount += 1;
    const isCounted = nowMs >= warmUpMs && nowMs < simulated.durationMs;
    if (isCounted) countedCount += 1;
    const request = callerRequest(claimed, arrivedCount);
    const size = { promptTokens, outputTokens };
    attempt({ request, size, arrivedAtMs: nowMs, isCounted }, maxAttempts);
  };

  const checkInUntil = (dueAtMs: number) =>
    daemons.forEach((daemon) => {
      if (daemon.nextAtMs > dueAtMs) return;
      nowMs = Math.max(nowMs, daemon.nextAtMs);
      checkIn(daemon);
    });

  const findNextPass = () =>
    heads.reduce((first, { head }) =>
      head.passEndsAtMs() < first.head.passEndsAtMs() ? { ...first, head } : first,
    ).head;

  const runScheduled = () => {
    const due = scheduled.filter(({ atMs }) => atMs <= nowMs);
    scheduled = scheduled.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ run }) => run());
  };

  const tick = () => {
    daemons.forEach(({ queues }) => queues.tick());
    schedule(nowMs + tickMs, tick);
  };

  const gapMs = () => -Math.log(1 - random.fraction()) / arrivalsPerMs;
  let arrivesAtMs = gapMs();
  schedule(tickMs, tick);
  // What has arrived in the measured time is still served afterwards.
  while (nowMs < simulated.durationMs + route.timeoutMs) {
    const next = findNextPass();
    const scheduledAtMs = Math.min(...scheduled.map(({ atMs }) => atMs));
    const dueAtMs = Math.min(next.passEndsAtMs(), arrivesAtMs, scheduledAtMs);
    checkInUntil(dueAtMs);
    nowMs = Math.max(nowMs, dueAtMs);
    if (dueAtMs === next.passEndsAtMs()) next.endPass();
    else if (dueAtMs === arrivesAtMs) {
      arrive();
      arrivesAtMs += gapMs();
    } else runScheduled();
  }
  const sorted = firstEventMs.sort((one, other) => one - other);
  const inTimeCount = sorted.filter((ms) => ms <= route.latencyTargetMs).length;
  return {
    lateFraction: 1 - inTimeCount / countedCount,
    refusedFraction: refusedCount / countedCount,
    queuedFraction: queuedCount / sentCount,
    otherDomainFraction: otherDomainCount / sentCount,
    medianFirstEventMs: sorted[Math.floor(sorted.length / 2)] ?? 0,
  };
};
