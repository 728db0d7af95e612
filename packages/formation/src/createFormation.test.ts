import { setTimeout as delay } from 'node:timers/promises';
import * as clocks from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import type * as fleet from '@comfreydrum/fleet';
import * as telemetry from '@comfreydrum/telemetry';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createFormation } from './createFormation';
import { reportOf } from './testing/reportOf';
import type { JoinOrder, TargetOrders, TargetReport } from './TargetOrders';

const test = uvu.suite('formation of groups by the controller');

const model: fleet.ServedModel = {
  name: 'draft',
  groupSize: 2,
  paceFactor: 1,
  demandShare: 1,
  loadMs: 100,
  stagedJoinMs: 100,
};
const engine = {
  slotsPerGroup: 6,
  models: [model],
  concurrentLoads: 6,
  loadStartsPerSecond: 4.5,
} as unknown as fleet.EngineProfile;
const plan = {
  services: new Map([['models', { name: 'models', maxConnections: 100, engine }]]),
} as unknown as fleet.TrafficPlan;
const runMs = 500;

const targetOf = (id: string): fleet.Target => ({
  id,
  startedAtMs: 1,
  serviceName: 'models',
  address: `${id}:1`,
  failureDomain: 'a',
  state: 'live',
  slots: 6,
  fabricDomain: 'd',
  stagedModels: ['draft'],
  loadedModels: [],
  membership: undefined,
});

/** Lets a controller whose list shows two free targets act for a while; returns the joins that it orders. */
const collectJoins = async (
  changesOf: (id: string) => Partial<TargetReport>,
  listAgeMs = 0,
  actsAfterMs = 0,
) => {
  const clock = clocks.createSystemClock();
  const actsFromMs = clock.monotonicMs() + actsAfterMs;
  const targets = new Map(['m1', 'm2'].map((id) => [id, targetOf(id)]));
  const joins: JoinOrder[] = [];
  const unused = async () => 'accepted' as const;
  const orders: TargetOrders = {
    join: async (_, order) => {
      joins.push(order);
      return 'accepted';
    },
    open: unused,
    close: unused,
    leave: unused,
    stage: unused,
    probe: async ({ id }) => errors.ok(reportOf(id, changesOf(id))),
  };
  const list = {
    all: () => targets,
    groups: () => [],
    version: () => 1,
    ageMs: () => listAgeMs,
    isSettled: () => true,
    onChange: () => {},
  };
  const lease = {
    state: () => ({
      kind: 'holder',
      token: 7,
      mayAct: clock.monotonicMs() >= actsFromMs,
      actsFromMs,
    }),
    daemonCount: () => 1,
    peerAddresses: () => [],
    observerAddresses: () => [],
  };
  const formation = createFormation({
    clock,
    log: telemetry.createLog({ level: 'silent', instanceId: 'test' }),
    metrics: telemetry.createMetrics(),
    plan: { current: () => plan } as unknown as fleet.PlanTracker,
    targets: list as unknown as fleet.TargetList,
    evacuations: { isEvacuated: () => false },
    orders,
    lease: lease as unknown as Parameters<typeof createFormation>[0]['lease'],
    calls: testing.createFakeNetwork().join('self'),
    address: 'self',
    isBeforeTraffic: () => false,
  });
  await formation.component.start?.();
  await delay(runMs);
  await formation.component.stop?.();
  return joins;
};

test('makes each join depend on the orders that the target has begun', async () => {
  const joins = await collectJoins((id) => ({ orderCount: id === 'm1' ? 4 : 5 }));
  assert.equal(
    joins.slice(0, 2).map(({ expectedOrderCount }) => expectedOrderCount),
    [4, 5],
  );
});

// Guards against members that are taken from a group that serves and that the list doesn't show.
test('orders no target to join that reports a group which the list lacks', async () => {
  const membership = { groupName: 'draft.1', epoch: 1, rank: 1, state: 'ready' } as const;
  assert.equal(await collectJoins((id) => (id === 'm2' ? { membership } : {})), []);
});

// Guards against orders by what the list showed before this daemon became the controller.
test('orders nothing on the basis of a list from before it became the controller', async () => {
  assert.equal(await collectJoins(() => ({}), 2 * runMs), []);
});

// Guards against orders by a list from while the controller before this one still gave some.
test('orders nothing on the basis of a list from before the previous controller had stopped', async () => {
  const actsAfterMs = 0.6 * runMs;
  assert.equal(await collectJoins(() => ({}), 0.5 * runMs, actsAfterMs), []);
  assert.ok((await collectJoins(() => ({}), 0.1 * runMs, actsAfterMs)).length > 0);
});

test.run();
