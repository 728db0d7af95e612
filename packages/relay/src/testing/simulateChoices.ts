import type * as routing from '@comfreydrum/routing';
import * as choices from '../chooseTarget';

/** A fleet of daemons and heads, and the load that callers generate. */
export interface SimulatedLoad {
  readonly domainCount: number;
  readonly headsPerDomain: number;
  readonly daemonCount: number;
  readonly slotsPerHead: number;
  readonly arrivalsPerSecond: number;
  /** Duration of a stream at an empty head; a full head takes a third longer. */
  readonly streamMs: number;
  /** Interval at which a daemon reports its requests in progress to the others and receives theirs. */
  readonly publishIntervalMs: number;
  /** Relative load from the callers of each failure domain. */
  readonly demandWeights: readonly number[];
  readonly durationMs: number;
}

/** The placement of the streams of a simulation. */
export interface SimulationResult {
  /** Fraction of the streams that had to wait for a free slot. */
  readonly queuedFraction: number;
  /** Fraction of the streams that left the failure domain of their daemon. */
  readonly otherDomainFraction: number;
}

interface SimulatedHead {
  readonly key: string;
  readonly domain: number;
  /** End times of its streams, by stream number. */
  readonly endsAtMs: Map<number, number>;
}

interface SimulatedDaemon {
  readonly domain: number;
  /** The streams in progress of this daemon, by head. */
  readonly own: Map<string, number>;
}

/** The load that a daemon last reported to the others, and the loads that it received at that time. */
interface LoadReport {
  readonly published: ReadonlyMap<string, number>;
  readonly received: ReadonlyMap<string, number>;
  readonly nextAtMs: number;
}

const stepMs = 5;
const fullHeadFactor = 1 / 3;
/** Fraction of the stream duration that is fixed; the rest is exponentially distributed. */
const fixedFraction = 0.3;
const msPerSecond = 1_000;

const drawExponential = (random: routing.Random): number => -Math.log(1 - random.fraction());

const add = (counts: Map<string, number>, key: string, difference: number) =>
  counts.set(key, (counts.get(key) ?? 0) + difference);

/** Simulates arrivals at daemons that learn of each other's streams with a delay. */
export const simulateChoices = (load: SimulatedLoad, random: routing.Random): SimulationResult => {
  const heads: readonly SimulatedHead[] = Array.from(
    { length: load.domainCount * load.headsPerDomain },
    (_, index) => ({
      key: `head-${index}`,
      domain: index % load.domainCount,
      endsAtMs: new Map(),
    }),
  );
  const daemons: readonly SimulatedDaemon[] = Array.from(
    { length: load.daemonCount },
    (_, index) => ({
      domain: index % load.domainCount,
      own: new Map(),
    }),
  );
  const reports = new Map<SimulatedDaemon, LoadReport>(
    daemons.map((daemon) => [
      daemon,
      {
        published: new Map(),
        received: new Map(),
        nextAtMs: random.fraction() * load.publishIntervalMs,
      },
    ]),
  );
  /** The streams in progress, with their heads, daemons and end times. */
  let running: {
    readonly head: SimulatedHead;
    readonly daemon: SimulatedDaemon;
    readonly endsAtMs: number;
  }[] = [];
  const totalWeight = load.demandWeights.reduce((sum, weight) => sum + weight, 0);
  let arrivedCount = 0;
  let queuedCount = 0;
  let otherDomainCount = 0;

  const drawDaemon = (): SimulatedDaemon => {
    let remaining = random.fraction() * totalWeight;
    const domain = load.demandWeights.findIndex((weight) => {
      remaining -= weight;
      return remaining < 0;
    });
    const localDaemons = daemons.filter((daemon) => daemon.domain === Math.max(0, domain));
    return localDaemons[Math.floor(random.fraction() * localDaemons.length)]!;
  };

  const toCandidate = (daemon: SimulatedDaemon, head: SimulatedHead): choices.Candidate => ({
    key: head.key,
    targetId: head.key,
    startedAtMs: 1,
    failureDomain: 'a',
    address: '127.0.0.1:1',
    groupKey: head.key,
    isSameDomain: head.domain === daemon.domain,
    slots: load.slotsPerHead,
    expectedMs: 50,
    otherInFlight: reports.get(daemon)!.received.get(head.key) ?? 0,
    stats: {
      inFlight: daemon.own.get(head.key) ?? 0,
      silentSinceMs: undefined,
      gapMs: undefined,
      responseMs: undefined,
      failureRate: 0,
      avoidUntilMs: -Infinity,
      lastProgressAtMs: -Infinity,
      unreachedAtMs: -Infinity,
    },
  });

  const arrive = (nowMs: number) => {
    const daemon = drawDaemon();
    const candidates = heads.map((head) => toCandidate(daemon, head));
    const chosen = choices.chooseTarget(candidates, { nowMs, random: random.fraction });
    const head = heads.find(({ key }) => key === chosen?.key)!;
    const count = head.endsAtMs.size;
    arrivedCount += 1;
    if (head.domain !== daemon.domain) otherDomainCount += 1;
    const isQueued = count >= load.slotsPerHead;
    if (isQueued) queuedCount += 1;
    const drawnMs = load.streamMs * (fixedFraction + (1 - fixedFraction) * drawExponential(random));
    const fullness = Math.min(1, count / load.slotsPerHead);
    const startsAtMs = isQueued ? Math.min(...head.endsAtMs.values()) : nowMs;
    const endsAtMs = startsAtMs + drawnMs * (1 + fullHeadFactor * fullness);
    head.endsAtMs.set(arrivedCount, endsAtMs);
    running.push({ head, daemon, endsAtMs });
    add(daemon.own, head.key, 1);
  };

  const endStreams = (nowMs: number) => {
    running
      .filter(({ endsAtMs }) => endsAtMs <= nowMs)
      .forEach(({ head, daemon }) => add(daemon.own, head.key, -1));
    running = running.filter(({ endsAtMs }) => endsAtMs > nowMs);
    heads.forEach(({ endsAtMs }) =>
      endsAtMs.forEach((atMs, stream) => {
        if (atMs <= nowMs) endsAtMs.delete(stream);
      }),
    );
  };

  const publish = (daemon: SimulatedDaemon, nowMs: number) => {
    const received = new Map<string, number>();
    reports.forEach(({ published }, other) => {
      if (other !== daemon) published.forEach((count, key) => add(received, key, count));
    });
    const nextAtMs = nowMs + load.publishIntervalMs * (0.8 + 0.4 * random.fraction());
    reports.set(daemon, { published: new Map(daemon.own), received, nextAtMs });
  };

  const gapMs = () => (drawExponential(random) * msPerSecond) / load.arrivalsPerSecond;
  let arrivesAtMs = gapMs();
  for (let nowMs = 0; nowMs < load.durationMs; nowMs += stepMs) {
    endStreams(nowMs);
    const dueAtMs = nowMs;
    reports.forEach(({ nextAtMs }, daemon) => {
      if (nextAtMs <= dueAtMs) publish(daemon, dueAtMs);
    });
    for (; arrivesAtMs <= nowMs; arrivesAtMs += gapMs()) arrive(nowMs);
  }
  return {
    queuedFraction: queuedCount / arrivedCount,
    otherDomainFraction: otherDomainCount / arrivedCount,
  };
};
