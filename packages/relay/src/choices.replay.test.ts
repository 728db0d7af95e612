import * as routing from '@comfreydrum/routing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as plays from './testing/playChoices';

const test = uvu.suite('choices under load');

const seed = 7;
/** First tokens are to come in time for 95 in 100, and a stream that waits for a place comes late. */
const maxWaitedFraction = 0.05;

/** The grown desk at 57 in 100 of its places, one failure domain with more callers than the others. */
const largeFleet: plays.ChoiceLoad = {
  domainCount: 4,
  headsPerDomain: 9,
  daemonCount: 91,
  slotsPerHead: 16,
  arrivalsPerSecond: 330,
  streamMs: 750,
  tellIntervalMs: 640,
  demandWeights: [1, 1.4, 1, 1],
  durationMs: 15_000,
};

/** The mediation service's smaller model with all of its groups. */
const smallFleet: plays.ChoiceLoad = {
  domainCount: 3,
  headsPerDomain: 3,
  daemonCount: 6,
  slotsPerHead: 18,
  arrivalsPerSecond: 87,
  streamMs: 750,
  tellIntervalMs: 300,
  demandWeights: [1, 0.8, 1.2],
  durationMs: 30_000,
};

const simulate = (load: plays.ChoiceLoad) => plays.playChoices(load, routing.createRandom(seed));

test('streams of a large fleet find places though its daemons hear of each other late', () => {
  const { waitedFraction } = simulate(largeFleet);
  assert.ok(waitedFraction <= maxWaitedFraction, `${waitedFraction} of the streams waited`);
});

test('streams of a small fleet find places', () => {
  const { waitedFraction } = simulate(smallFleet);
  assert.ok(waitedFraction <= maxWaitedFraction, `${waitedFraction} of the streams waited`);
});

test('few streams leave their failure domain while it has places', () => {
  [largeFleet, smallFleet].forEach((load) => {
    const { otherDomainFraction } = simulate(load);
    assert.ok(otherDomainFraction <= 0.1, `${otherDomainFraction} of the streams left`);
  });
});

test('streams leave a failure domain that is full', () => {
  const skewedFleet = { ...smallFleet, demandWeights: [2.4, 0.3, 0.3] };
  const { waitedFraction } = simulate(skewedFleet);
  assert.ok(waitedFraction <= maxWaitedFraction, `${waitedFraction} of the streams waited`);
});

test.run();
