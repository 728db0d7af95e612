/**
 * A non-idempotent request runs at most once, and a request reported as not run has not run.
 * Callers resend each filing through random daemons. Meanwhile daemons are killed, paused, and
 * isolated from each other and from the platform; the platform fails, loses answers or applies
 * writes late; and the service loses its answers.
 */
import * as testing from '@comfreydrum/testing';
import {
  attemptFiling,
  findViolations,
  waitUntilFilingsAccepted,
  type Attempt,
} from './support/filings';
import { sleep, withFleet } from './support/withFleet';

const callerCount = 8;
const faultCount = 7;
const recoveryMs = 6_000;
const resendMs = 150;
const lookupPath = '/filings/by-key/{key}';

const fleetOptions = (seed: number): testing.FleetOptions => ({
  seed,
  daemonCount: 4,
  services: { count: 2, latencyMs: 30 },
  configuration: testing.createTestConfiguration({
    groups: 0,
    filingDeadlineMs: 2_500,
    lookupPath: seed % 2 === 0 ? lookupPath : undefined,
  }),
});

type Fault = (fleet: testing.Fleet, random: testing.Random) => Promise<void>;

const ledgerKinds = ['ledger-head', 'ledger-segment'];

const faults: Readonly<Record<string, Fault>> = {
  'kill a daemon': async ({ daemons }, random) => {
    const daemon = random.pick(daemons);
    await daemon.process().kill();
    await sleep(random.integer(0, 1_500));
    await daemon.start();
  },
  'pause a daemon': async ({ daemons }, random) => {
    const daemon = random.pick(daemons);
    daemon.process().pause();
    await sleep(random.integer(200, 4_000));
    daemon.process().resume();
  },
  'cut two daemons off from each other': async ({ daemons, proxy }, random) => {
    proxy.cutBetween(random.pick(daemons).ip, random.pick(daemons).ip);
    await sleep(random.integer(500, 3_000));
    proxy.heal();
  },
  'split the daemons in halves': async ({ daemons, proxy }, random) => {
    const [first, second, ...others] = daemons;
    [first!, second!].forEach(({ ip }) =>
      others.forEach((other) => proxy.cutBetween(ip, other.ip)),
    );
    await sleep(random.integer(1_000, 4_000));
    proxy.heal();
  },
  'cut a daemon off from the platform': async ({ daemons, platform, proxy }, random) => {
    proxy.cutBetween(random.pick(daemons).ip, platform.ip);
    await sleep(random.integer(500, 3_000));
    proxy.heal();
  },
  'platform outage': async ({ platform }, random) => {
    await platform.setFaults({ outage: random.pick(['refuse', 'hang'] as const) });
    await sleep(random.integer(500, 3_000));
    await platform.setFaults({ outage: 'none' });
  },
  'lose answers of the platform': async ({ platform }, random) => {
    const count = random.integer(3, 12);
    await platform.setFaults({ loseAnswers: { count, methods: ['PUT'], kinds: ledgerKinds } });
  },
  'apply writes late': async ({ platform }, random) => {
    const count = random.integer(3, 12);
    const afterMs = random.integer(100, 2_000);
    const lateWrites = { count, afterMs, methods: ['PUT'], kinds: ledgerKinds };
    await platform.setFaults({ lateWrites });
  },
  'lose answers of the service': async ({ services }, random) => {
    const fault = random.pick(['hangBefore', 'hangAfter'] as const);
    await random.pick(services).setFaults({ [fault]: random.integer(1, 5) });
  },
};

/** Returns a random selection of `faultCount` faults in random order. */
const drawFaults = (random: testing.Random): readonly string[] =>
  Object.keys(faults)
    .map((name) => ({ name, order: random.fraction() }))
    .sort((left, right) => left.order - right.order)
    .slice(0, faultCount)
    .map(({ name }) => name);

/**
 * Starts callers that submit one filing after another through random daemons, each until it is
 * answered 201.
 */
const startCallers = (fleet: testing.Fleet, random: testing.Random) => {
  const attempts: Attempt[] = [];
  let isStopped = false;
  const runCaller = async (caller: number) => {
    for (let number = 0; !isStopped; number += 1) {
      const key = `filing-${caller}-${number}`;
      for (let isDone = false; !isDone && !isStopped;) {
        const daemon = random.pick(fleet.daemons);
        const [attempt, duplicate] = await Promise.all([
          attemptFiling(daemon.directUrl, key),
          random.fraction() < 0.2
            ? attemptFiling(random.pick(fleet.daemons).directUrl, key)
            : undefined,
        ]);
        attempts.push(attempt, ...(duplicate ? [duplicate] : []));
        isDone = attempt.statusCode === 201 || duplicate?.statusCode === 201;
        await sleep(resendMs);
      }
    }
  };
  const callers = Array.from({ length: callerCount }, (_, caller) => runCaller(caller));
  return {
    stop: async (): Promise<readonly Attempt[]> => {
      isStopped = true;
      await Promise.all(callers);
      return attempts;
    },
  };
};

/** Checks that no filing runs twice and that the reported outcomes are true. */
export const prove: testing.Proof = ({ seed, random, note }) =>
  withFleet(fleetOptions(seed), async (fleet) => {
    await waitUntilFilingsAccepted(fleet);
    note('every daemon accepts filings');
    const callers = startCallers(fleet, random);
    for (const name of drawFaults(random)) {
      note(`fault: ${name}`);
      await faults[name]!(fleet, random);
      await sleep(random.integer(200, 700));
    }
    note('all faults are over');
    await sleep(recoveryMs);
    const attempts = await callers.stop();
    const runs = await fleet.services[0]!.runs();
    const keys = new Set(attempts.map(({ key }) => key));
    const landed = new Set(runs.map(({ key }) => key));
    const count = (ran: string) => attempts.filter((attempt) => attempt.ran === ran).length;
    const figures = {
      keys: keys.size,
      landed: [...keys].filter((key) => landed.has(key)).length,
      attempts: attempts.length,
      toldNotRun: count('not-run'),
      toldUnknown: count('unknown'),
      unanswered: attempts.filter(({ statusCode }) => statusCode === 0).length,
    };
    const isInconclusive = figures.landed < callerCount * 2 || figures.attempts <= figures.keys;
    const inconclusive = isInconclusive
      ? [`too few filings to be conclusive: ${JSON.stringify(figures)}`]
      : [];
    return { violations: [...findViolations(attempts, runs), ...inconclusive], figures };
  });
