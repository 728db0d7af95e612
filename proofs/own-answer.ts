/**
 * Every caller receives the complete answer to its own request and never that of another, for chats
 * and completions, streamed or as one body. This holds under delayed, duplicated, reordered and
 * foreign events, truncated streams, reset connections, and targets that pause, are isolated or
 * crash during an answer.
 */
import * as testing from '@comfreydrum/testing';
import { checkText, countEnds, createLoad } from './support/createLoad';
import type { LoadResult } from './support/createLoad';
import { createLookups } from './support/createLookups';
import { sleep, withFleet } from './support/withFleet';

const callerCount = 12;
const lookupCallerCount = 3;
const repeatedFaultCount = 3;
const engineOptions = { tokenMs: 12, loadMs: 100, printServed: true };

const fleetOptions = (seed: number): testing.FleetOptions => ({
  seed,
  daemonCount: 3,
  engines: { count: 6, options: engineOptions },
  services: { count: 2 },
  configuration: testing.createTestConfiguration({ groups: 3, instancesPerGroup: 2 }),
});

/** All combinations of route and streaming. */
const shapes: readonly testing.CompletionShape[] = [
  { route: 'completions', isStream: true },
  { route: 'completions', isStream: false },
  { route: 'chat/completions', isStream: true },
  { route: 'chat/completions', isStream: false },
];

const isComplete = ({ outcome }: LoadResult) => outcome.end === 'complete';

/** Counts the complete answers of each shape. */
const countCompleteByShape = (results: readonly LoadResult[]) =>
  shapes.map((shape) => {
    const ofShape = results.filter((result) => result.shape === shape);
    return { ...shape, wholeCount: ofShape.filter(isComplete).length };
  });

type Fault = (fleet: testing.Fleet, random: testing.Random) => Promise<void>;

const eventCounts = { from: 2, to: 6 } as const;
const eventKinds = [
  'duplicatedEvents',
  'swappedEvents',
  'foreignEvents',
  'tornEvents',
  'silentEnds',
] as const;

const faults: Readonly<Record<string, Fault>> = {
  'spoil events': async ({ engines }, random) => {
    const count = random.integer(eventCounts.from, eventCounts.to);
    await Promise.all(
      engines.map((engine) => engine.setFaults({ [random.pick(eventKinds)]: count })),
    );
  },
  'delay answers': async ({ engines, proxy }, random) => {
    engines.forEach(({ ip }) => proxy.updateLinkFault(ip, '*', { delayMs: 40, jitterMs: 200 }));
    await sleep(random.integer(500, 1_500));
    proxy.heal();
  },
  'reset connections': async ({ engines, proxy }, random) => {
    proxy.resetConnections(random.pick(engines).ip);
  },
  'cut an engine off from one daemon': async ({ engines, daemons, proxy }, random) => {
    proxy.cutBetween(random.pick(engines).ip, random.pick(daemons).ip);
    await sleep(random.integer(300, 2_500));
    proxy.heal();
  },
  'pause an engine': async ({ engines }, random) => {
    const engine = random.pick(engines);
    engine.process().pause();
    await sleep(random.integer(200, 2_000));
    engine.process().resume();
  },
  'kill an engine': async ({ engines }, random) => {
    const engine = random.pick(engines);
    await engine.process().kill();
    await sleep(random.integer(0, 500));
    await engine.start();
  },
};

/** Returns every fault at least once, and some of them repeatedly, in random order. */
const drawFaults = (random: testing.Random): readonly string[] => {
  const names = Object.keys(faults);
  const repeated = Array.from({ length: repeatedFaultCount }, () => random.pick(names));
  return [...names, ...repeated]
    .map((name) => ({ name, order: random.fraction() }))
    .sort((left, right) => left.order - right.order)
    .map(({ name }) => name);
};

const checkResult = (result: LoadResult): readonly string[] => {
  const { outcome } = result;
  const hasNoErrorEvent = outcome.end === 'cut' || outcome.end === 'no-answer';
  const silentEnds = hasNoErrorEvent
    ? [
        `request ${outcome.requestId} ended without an error event after ${outcome.tokenCount} tokens: ${outcome.error}`,
      ]
    : [];
  return [...silentEnds, ...checkText(result)];
};

/**
 * Checks that answers reach their own callers, and are complete, refused or ended by an error
 * event.
 */
export const prove: testing.Proof = ({ seed, random, note }) =>
  withFleet(fleetOptions(seed), async (fleet) => {
    await fleet.waitUntilServing();
    note('serving');
    const load = createLoad({
      daemons: () => fleet.daemons,
      callerCount,
      minTokens: 10,
      maxTokens: 120,
      random,
      shapes,
    });
    const lookups = createLookups({
      daemons: () => fleet.daemons,
      callerCount: lookupCallerCount,
      random,
    });
    for (const name of drawFaults(random)) {
      note(`fault: ${name}`);
      await faults[name]!(fleet, random);
      await sleep(random.integer(300, 900));
    }
    note('stopping the load');
    const [results, answered] = await Promise.all([load.stop(), lookups.stop()]);
    const mismatchedLookups = answered.filter(
      ({ statusCode, caseId, answeredCaseId }) => statusCode === 200 && caseId !== answeredCaseId,
    );
    const resumed = fleet.engines
      .flatMap((engine) => engine.startedRequests())
      .filter(({ resumedFromToken }) => resumedFromToken > 0);
    const ends = countEnds(results);
    const whole = countCompleteByShape(results);
    const isInconclusive =
      whole.some(({ wholeCount }) => wholeCount < callerCount) || resumed.length === 0;
    return {
      violations: [
        ...results.flatMap(checkResult),
        ...mismatchedLookups.map(
          (lookup) => `a lookup was answered with another case: ${JSON.stringify(lookup)}`,
        ),
        ...(isInconclusive
          ? [
              `too few events to be conclusive: ${resumed.length} resumed, ${JSON.stringify({ ends, whole })}`,
            ]
          : []),
      ],
      figures: {
        answers: results.length,
        wholeOfRarestForm: Math.min(...whole.map(({ wholeCount }) => wholeCount)),
        complete: ends.complete ?? 0,
        errorEvents: ends['error-event'] ?? 0,
        refused: ends.refused ?? 0,
        resumes: resumed.length,
        lookups: answered.length,
        streamedTokensCompared: results.reduce((sum, { outcome }) => sum + outcome.tokenCount, 0),
      },
    };
  });
