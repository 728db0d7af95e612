import type * as routing from '@comfreydrum/routing';
import * as choices from '../chooseTarget';

/** A fleet of daemons and heads, and the load that callers bring. */
export interface ChoiceLoad {
  readonly domainCount: number;
  readonly headsPerDomain: number;
  readonly daemonCount: number;
  readonly slotsPerHead: number;
  readonly arrivalsPerSecond: number;
  /** How long a stream takes at an empty head; a full one takes a third longer. */
  readonly streamMs: number;
  /** How often a daemon tells the others of its requests in progress and hears of theirs. */
  readonly tellIntervalMs: number;
  /** How much of the load comes from the callers of each failure domain. */
  readonly demandWeights: readonly number[];
  readonly durationMs: number;
}

/** What callers got. */
export interface ChoiceOutcome {
  /** The part of the streams that had to wait for a place. */
  readonly waitedFraction: number;
  /** The part of the streams that left the failure domain of their daemon. */
  readonly otherDomainFraction: number;
}

interface PlayedHead {
  readonly key: string;
  readonly domain: number;
  /** When each of its streams ends, by the stream's number. */
  readonly endsAtMs: Map<number, number>;
}

interface PlayedDaemon {
  readonly domain: number;
  /** The streams in progress of this daemon, by head. */
  readonly own: Map<string, number>;
}

/** What a daemon has told the others last, and what it has heard of them then. */
interface Exchange {
  readonly told: ReadonlyMap<string, number>;
  readonly heard: ReadonlyMap<string, number>;
  readonly nextAtMs: number;
}

const stepMs = 5;
const fullHeadFactor = 1 / 3;
/** Streams differ in length: part of it is fixed, the rest is drawn. */
const fixedPart = 0.3;
const msPerSecond = 1_000;

const drawExponential = (random: routing.Random): number => -Math.log(1 - random.fraction());

const add = (counts: Map<string, number>, key: string, difference: number) =>
  counts.set(key, (counts.get(key) ?? 0) + difference);

/** Plays arrivals at daemons that know of each other's streams with a delay. */
export const playChoices = (load: ChoiceLoad, random: routing.Random): ChoiceOutcome => {
  const heads: readonly PlayedHead[] = Array.from(
    { length: load.domainCount * load.headsPerDomain },
    (_, index) => ({
      key: `head-${index}`,
      domain: index % load.domainCount,
      endsAtMs: new Map(),
    }),
  );
  const daemons: readonly PlayedDaemon[] = Array.from({ length: load.daemonCount }, (_, index) => ({
    domain: index % load.domainCount,
    own: new Map(),
  }));
  const exchanges = new Map<PlayedDaemon, Exchange>(
    daemons.map((daemon) => [
      daemon,
      { told: new Map(), heard: new Map(), nextAtMs: random.fraction() * load.tellIntervalMs },
    ]),
  );
  /** Which daemon's stream ends when, at which head. */
  let running: {
    readonly head: PlayedHead;
    readonly daemon: PlayedDaemon;
    readonly endsAtMs: number;
  }[] = [];
  const totalWeight = load.demandWeights.reduce((sum, weight) => sum + weight, 0);
  let arrivedCount = 0;
  let waitedCount = 0;
  let otherDomainCount = 0;

  const drawDaemon = (): PlayedDaemon => {
    let left = random.fraction() * totalWeight;
    const domain = load.demandWeights.findIndex((weight) => {
      left -= weight;
      return left < 0;
    });
    const there = daemons.filter((daemon) => daemon.domain === Math.max(0, domain));
    return there[Math.floor(random.fraction() * there.length)]!;
  };

  const toCandidate = (daemon: PlayedDaemon, head: PlayedHead): choices.Candidate => ({
    key: head.key,
    targetId: head.key,
    address: '127.0.0.1:1',
    groupKey: head.key,
    isSameDomain: head.domain === daemon.domain,
    slots: load.slotsPerHead,
    expectedMs: 50,
    otherInFlight: exchanges.get(daemon)!.heard.get(head.key) ?? 0,
    evidence: {
      inFlight: daemon.own.get(head.key) ?? 0,
      silentSinceMs: undefined,
      gapMs: undefined,
      answerMs: undefined,
      failureShare: 0,
      avoidUntilMs: -Infinity,
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
    const isWaiting = count >= load.slotsPerHead;
    if (isWaiting) waitedCount += 1;
    const drawnMs = load.streamMs * (fixedPart + (1 - fixedPart) * drawExponential(random));
    const fullness = Math.min(1, count / load.slotsPerHead);
    const startsAtMs = isWaiting ? Math.min(...head.endsAtMs.values()) : nowMs;
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

  const tell = (daemon: PlayedDaemon, nowMs: number) => {
    const heard = new Map<string, number>();
    exchanges.forEach(({ told }, other) => {
      if (other !== daemon) told.forEach((count, key) => add(heard, key, count));
    });
    const nextAtMs = nowMs + load.tellIntervalMs * (0.8 + 0.4 * random.fraction());
    exchanges.set(daemon, { told: new Map(daemon.own), heard, nextAtMs });
  };

  const gapMs = () => (drawExponential(random) * msPerSecond) / load.arrivalsPerSecond;
  let arrivesAtMs = gapMs();
  for (let nowMs = 0; nowMs < load.durationMs; nowMs += stepMs) {
    endStreams(nowMs);
    const dueAtMs = nowMs;
    exchanges.forEach(({ nextAtMs }, daemon) => {
      if (nextAtMs <= dueAtMs) tell(daemon, dueAtMs);
    });
    for (; arrivesAtMs <= nowMs; arrivesAtMs += gapMs()) arrive(nowMs);
  }
  return {
    waitedFraction: waitedCount / arrivedCount,
    otherDomainFraction: otherDomainCount / arrivedCount,
  };
};
