/**
 * A leaving target receives no new request after 3 s. The daemons learn of it from the platform's
 * delayed target list, or from the target itself while the platform is down and the daemons are
 * isolated from each other.
 */
import * as testing from '@comfreydrum/testing';
import { countEnds, createLoad } from './support/createLoad';
import { createLookups } from './support/createLookups';
import { sleep, withFleet } from './support/withFleet';

const newRequestLimitMs = 3_000;
const observationMs = 7_000;
const listLagMs = 500;

const fleetOptions = (seed: number): testing.FleetOptions => ({
  seed,
  daemonCount: 3,
  engines: {
    count: 6,
    options: { tokenMs: 10, loadMs: 100, printServed: true, minLeaveMs: 15_000 },
  },
  services: { count: 3, minLeaveMs: 15_000 },
  configuration: testing.createTestConfiguration({ groups: 3, instancesPerGroup: 2 }),
});

interface LeavingTargets {
  readonly engine: testing.FleetTarget;
  readonly service: testing.FleetTarget;
}

type Scenario = (fleet: testing.Fleet, leaving: LeavingTargets) => Promise<void>;

const markLeavingInList = async (
  { platform }: testing.Fleet,
  { engine, service }: LeavingTargets,
) => {
  await platform.setInstance(engine.instanceId, { state: 'leaving' });
  await platform.setInstance(service.instanceId, { state: 'leaving' });
};

const terminateTargets = ({ engine, service }: LeavingTargets) => {
  engine.process().terminate();
  service.process().terminate();
};

const isolateDaemons = ({ daemons, proxy }: testing.Fleet) =>
  daemons.forEach(({ ip }) =>
    daemons.forEach((other) => {
      if (other.ip !== ip) proxy.cutBetween(ip, other.ip);
    }),
  );

const scenarios: readonly (readonly [name: string, run: Scenario])[] = [
  [
    'the lagging list tells',
    async (fleet, leaving) => {
      await fleet.platform.setFaults({ instanceLagMs: listLagMs });
      await markLeavingInList(fleet, leaving);
    },
  ],
  [
    'one daemon is cut off from the platform and the list tells the others',
    async (fleet, leaving) => {
      fleet.proxy.cutBetween(fleet.daemons[0]!.ip, fleet.platform.ip);
      await markLeavingInList(fleet, leaving);
    },
  ],
  [
    'the platform hangs and the targets tell',
    async (fleet, leaving) => {
      await fleet.platform.setFaults({ outage: 'hang' });
      terminateTargets(leaving);
    },
  ],
  [
    'the platform refuses, the daemons are cut off from each other and the targets tell',
    async (fleet, leaving) => {
      await fleet.platform.setFaults({ outage: 'refuse' });
      isolateDaemons(fleet);
      terminateTargets(leaving);
    },
  ],
];

/**
 * Returns how long after the start of leaving the targets last received a new request, in
 * milliseconds; 0 if never.
 */
const findLastRequests = async (
  { engines }: testing.Fleet,
  { engine, service }: LeavingTargets,
  group: { readonly groupId: string; readonly generation: number },
  leftAtMs: number,
) => {
  const ofGroup = engines
    .flatMap((target) => target.startedRequests())
    .filter(
      ({ groupId, generation }) => groupId === group.groupId && generation === group.generation,
    );
  const ofEngine = engine.startedRequests();
  const lookups = await service.lookups();
  const lastOf = (timesMs: readonly number[]) =>
    timesMs.reduce((last, atMs) => Math.max(last, atMs - leftAtMs), 0);
  return {
    group: lastOf(ofGroup.map(({ receivedAtMs }) => receivedAtMs)),
    engine: lastOf(ofEngine.map(({ receivedAtMs }) => receivedAtMs)),
    service: lastOf(lookups.map(({ atMs }) => atMs)),
    before: ofGroup.length + lookups.length,
  };
};

/**
 * Checks that leaving targets receive no new request after 3 s and that the others keep serving.
 */
export const prove: testing.Proof = ({ seed, random, note }) =>
  withFleet(fleetOptions(seed), async (fleet) => {
    await fleet.waitUntilServing();
    const daemons = () => fleet.daemons;
    const load = createLoad({ daemons, callerCount: 8, minTokens: 5, maxTokens: 30, random });
    const lookups = createLookups({ daemons, callerCount: 4, random });
    await testing.waitUntil(
      () => load.results().length > 20,
      15_000,
      'the first streams to complete',
    );

    const leaving = { engine: random.pick(fleet.engines), service: random.pick(fleet.services) };
    const { groupId, generation } = await leaving.engine.presence();
    const [name, run] = scenarios[seed % scenarios.length]!;
    note(`${name}: ${leaving.engine.instanceId} of ${groupId}, ${leaving.service.instanceId}`);
    const leftAtMs = Date.now();
    await run(fleet, leaving);
    await sleep(observationMs);
    const results = load.results().filter(({ startedAtMs }) => startedAtMs > leftAtMs);
    const servedLate = results.filter(
      ({ startedAtMs, outcome }) =>
        startedAtMs > leftAtMs + newRequestLimitMs && outcome.end === 'complete',
    );
    const last = await findLastRequests(fleet, leaving, { groupId, generation }, leftAtMs);
    fleet.proxy.heal();
    await fleet.platform.setFaults({ outage: 'none' });
    await Promise.all([load.stop(), lookups.stop()]);

    const lateRequests = Object.entries({
      group: last.group,
      engine: last.engine,
      service: last.service,
    }).filter(([, lastMs]) => lastMs > newRequestLimitMs);
    return {
      violations: [
        ...lateRequests.map(
          ([what, lastMs]) => `${name}: the ${what} received a new request after ${lastMs} ms`,
        ),
        ...(servedLate.length === 0 ? [`${name}: the other groups completed no request`] : []),
        ...(last.before === 0 ? [`${name}: the targets received no request before they left`] : []),
      ],
      figures: {
        lastWorkOfGroupMs: last.group,
        lastWorkOfServiceMs: last.service,
        completeWhileLeaving: countEnds(results).complete ?? 0,
        refusedWhileLeaving: countEnds(results).refused ?? 0,
        servedLate: servedLate.length,
      },
    };
  });
