/**
 * A request that is reported to its caller as not run was never run by a target. This holds on
 * every refusal path, while daemons are killed, paused and isolated, targets crash, and the
 * platform fails or loses answers.
 */
import * as testing from '@comfreydrum/testing';
import { createFilings } from './support/createFilings';
import { countEnds, createLoad } from './support/createLoad';
import {
  sendConcurrently,
  submitWhileDraining,
  poisonText,
  quarantineFiling,
  reuseKeys,
} from './support/provokedRefusals';
import type { ProvokedRefusals } from './support/provokedRefusals';
import { sendRefusedRequest, checkRefusal, refusalPaths } from './support/refusalPaths';
import { collectNotRunReports, findFalseReports } from './support/findFalseReports';
import { sleep, withFleet } from './support/withFleet';

const streamCallerCount = 8;
const filingCallerCount = 6;
const minFilingsNotRun = 5;
const limitedCustomer = 'limited';
const narrowCustomer = 'narrow';
const limitCode = 'customer_limit';
const inTransitMs = 1_500;

const createConfiguration = () => {
  const document = testing.createTestConfiguration({
    groups: 2,
    instancesPerGroup: 2,
    customers: [testing.testNames.customer, limitedCustomer, narrowCustomer],
    modelDeadlineMs: 3_000,
    filingDeadlineMs: 2_000,
    maxConcurrentPerGroup: 4,
  });
  const limits: Readonly<Record<string, object>> = {
    [limitedCustomer]: { requestsPerSecond: 2 },
    [narrowCustomer]: { maxConcurrent: 3 },
  };
  const customers = document.customers.map((customer) => ({
    ...customer,
    ...limits[customer.name],
  }));
  return { ...document, customers };
};

const fleetOptions = (seed: number): testing.FleetOptions => ({
  seed,
  daemonCount: 3,
  engines: { count: 5, options: { tokenMs: 10, loadMs: 100, printServed: true } },
  services: { count: 2, latencyMs: 50, crashOn: poisonText },
  configuration: createConfiguration(),
});

type Fault = (fleet: testing.Fleet, random: testing.Random) => Promise<void>;

const restart = async (target: testing.FleetTarget | testing.FleetDaemon, downMs: number) => {
  await target.process().kill();
  await sleep(downMs);
  await target.start();
};

const faults: Readonly<Record<string, Fault>> = {
  'the platform is out': async ({ platform }, random) => {
    await platform.setFaults({ outage: random.pick(['refuse', 'hang'] as const) });
    await sleep(random.integer(1_000, 2_500));
    await platform.setFaults({ outage: 'none' });
  },
  'the platform loses answers': async ({ platform }, random) => {
    const count = random.integer(1, 4);
    await platform.setFaults({ loseAnswers: { count, methods: ['PUT'] } });
    await sleep(inTransitMs);
  },
  'the platform writes late': async ({ platform }, random) => {
    const count = random.integer(1, 3);
    const afterMs = random.integer(50, 600);
    await platform.setFaults({ lateWrites: { count, methods: ['PUT'], afterMs } });
    await sleep(inTransitMs);
  },
  'an engine dies': async ({ engines }, random) => {
    await restart(random.pick(engines), random.integer(0, 500));
  },
  'an instance of the service dies': async ({ services }, random) => {
    await restart(random.pick(services), random.integer(300, 1_500));
  },
  'the service crashes after a run': async ({ services }, random) => {
    const service = random.pick(services);
    await service.setFaults({ crashAfter: 1 });
    await service.process().exited;
    await service.start();
  },
  'a daemon dies': async ({ daemons }, random) => {
    await restart(random.pick(daemons), random.integer(0, 500));
  },
  'a daemon pauses': async ({ daemons }, random) => {
    const daemon = random.pick(daemons);
    daemon.process().pause();
    await sleep(random.integer(500, 3_000));
    daemon.process().resume();
  },
  'a daemon is cut off from the targets': async ({ daemons, engines, services, proxy }, random) => {
    const { ip } = random.pick(daemons);
    [...engines, ...services].forEach((target) => proxy.cutBetween(ip, target.ip));
    await sleep(random.integer(500, 2_500));
    proxy.heal();
  },
};

const shuffle = (names: readonly string[], random: testing.Random): readonly string[] =>
  names
    .map((name) => ({ name, order: random.fraction() }))
    .sort((left, right) => left.order - right.order)
    .map(({ name }) => name);

const isOverLimit = ({ statusCode, ran, error }: testing.CompletionOutcome) =>
  statusCode === 429 && ran === 'not-run' && error.includes(limitCode);

const provokeRefusals = async (
  fleet: testing.Fleet,
  random: testing.Random,
): Promise<Readonly<Record<'reused' | 'quarantined' | 'draining', ProvokedRefusals>>> => ({
  reused: await reuseKeys(fleet, random),
  quarantined: await quarantineFiling(fleet, random),
  draining: await submitWhileDraining(random.pick(fleet.daemons)),
});

/** Checks that no request reported as not run was run by any target. */
export const prove: testing.Proof = ({ seed, random, note }) =>
  withFleet(fleetOptions(seed), async (fleet) => {
    await fleet.waitUntilServing();
    const daemon = random.pick(fleet.daemons);
    const refusals = await Promise.all(
      refusalPaths.map((path) => sendRefusedRequest(daemon, path)),
    );
    const limited = await sendConcurrently(fleet, limitedCustomer);
    const narrow = await sendConcurrently(fleet, narrowCustomer);
    const provoked = await provokeRefusals(fleet, random);
    note('provoked refusals done');

    const daemons = () => fleet.daemons;
    const streams = createLoad({
      daemons,
      callerCount: streamCallerCount,
      minTokens: 5,
      maxTokens: 60,
      random,
    });
    const filings = createFilings({ daemons, callerCount: filingCallerCount, random });
    for (const name of shuffle(Object.keys(faults), random)) {
      note(`fault: ${name}`);
      await faults[name]!(fleet, random);
      await sleep(random.integer(100, 500));
    }
    const [streamResults, filingResults] = await Promise.all([streams.stop(), filings.stop()]);
    // Requests in transit may still reach a target.
    await sleep(inTransitMs);
    note('load ended');

    const notRunReports = collectNotRunReports(
      streamResults,
      [...limited, ...narrow],
      filingResults,
      Object.values(provoked),
      refusals.map(({ requestId }) => requestId),
    );
    const falseReports = await findFalseReports(fleet, notRunReports);
    const limitedCount = limited.filter(isOverLimit).length;
    const narrowCount = narrow.filter(isOverLimit).length;
    const withoutRanHeader = filingResults.filter(
      ({ statusCode, ran }) => statusCode !== 0 && ran === '',
    );
    const filingsNotRun = filingResults.filter(({ ran }) => ran === 'not-run').length;
    const isInconclusive =
      filingsNotRun < minFilingsNotRun || limitedCount === 0 || narrowCount === 0;
    return {
      violations: [
        ...refusalPaths.flatMap((path, index) => checkRefusal(path, refusals[index]!)),
        ...Object.values(provoked).flatMap(({ violations }) => violations),
        ...falseReports,
        ...withoutRanHeader.map(
          (result) => `an answer has no ran header: ${JSON.stringify(result)}`,
        ),
        ...(isInconclusive
          ? [
              `too few refusals: ${filingsNotRun} filings, ${limitedCount} over the rate, ${narrowCount} over the concurrency`,
            ]
          : []),
      ],
      figures: {
        refusalPaths: refusals.length,
        overLimit: limitedCount,
        overConcurrency: narrowCount,
        keysReused: provoked.reused.refusedCount,
        quarantined: provoked.quarantined.refusedCount,
        refusedDraining: provoked.draining.refusedCount,
        streams: streamResults.length,
        streamsNotRun: notRunReports.notRunDigests.size,
        streamsComplete: countEnds(streamResults).complete ?? 0,
        filings: filingResults.length,
        filingsNotRun,
        filingsUnknown: filingResults.filter(({ ran }) => ran === 'unknown').length,
        filingsRan: filingResults.filter(({ ran }) => ran === 'ran').length,
      },
    };
  });
