import * as routing from '@comfreydrum/routing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as simulation from './testing/simulateChoices';

const test = uvu.suite('target choice under load');

const seed = 7;
/** 95% of the streams must get their first token in time; a stream that waits for a slot is late. */
const maxQueuedFraction = 0.05;

/** A large fleet at 57% of its slots; one failure domain has more callers than the others. */
const largeFleet: simulation.SimulatedLoad = {
  domainCount: 4,
  headsPerDomain: 9,
  daemonCount: 91,
  slotsPerHead: 16,
  arrivalsPerSecond: 330,
  streamMs: 750,
  publishIntervalMs: 640,
  demandWeights: [1, 1.4, 1, 1],
  durationMs: 15_000,
};

/** A small fleet: the nine groups of one model. */
const smallFleet: simulation.SimulatedLoad = {
  domainCount: 3,
  headsPerDomain: 3,
  daemonCount: 6,
  slotsPerHead: 18,
  arrivalsPerSecond: 87,
  streamMs: 750,
  publishIntervalMs: 300,
  demandWeights: [1, 0.8, 1.2],
  durationMs: 30_000,
};

const simulate = (load: simulation.SimulatedLoad) =>
  simulation.simulateChoices(load, routing.createRandom(seed));

test("streams of a large fleet find free slots although daemons learn of each other's load late", () => {
  const { queuedFraction } = simulate(largeFleet);
  assert.ok(queuedFraction <= maxQueuedFraction, `${queuedFraction} of the streams waited`);
});

test('streams of a small fleet find free slots', () => {
  const { queuedFraction } = simulate(smallFleet);
  assert.ok(queuedFraction <= maxQueuedFraction, `${queuedFraction} of the streams waited`);
});

test('few streams leave their failure domain while it has free slots', () => {
  [largeFleet, smallFleet].forEach((load) => {
    const { otherDomainFraction } = simulate(load);
    assert.ok(otherDomainFraction <= 0.1, `${otherDomainFraction} of the streams left`);
  });
});

test('streams leave a failure domain that is full', () => {
  const skewedFleet = { ...smallFleet, demandWeights: [2.4, 0.3, 0.3] };
  const { queuedFraction } = simulate(skewedFleet);
  assert.ok(queuedFraction <= maxQueuedFraction, `${queuedFraction} of the streams waited`);
});

test.run();
