import * as routing from '@comfreydrum/routing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { chooseTarget, type Candidate } from './chooseTarget';
import { createTargetTracker } from './createTargetTracker';

const test = uvu.suite('target choice');

const slots = 18;
const targetTracker = createTargetTracker();

const candidate = (key: string, fields: Partial<Candidate> = {}): Candidate => ({
  key,
  targetId: key,
  startedAtMs: 1,
  failureDomain: 'a',
  address: '127.0.0.1:1',
  groupKey: key,
  isSameDomain: true,
  slots,
  expectedMs: 50,
  otherInFlight: 0,
  stats: targetTracker.read(key, 0),
  ...fields,
});

const withStats = (fields: Partial<Candidate['stats']>) => ({
  stats: { ...targetTracker.read('fresh', 0), ...fields },
});

const drawCount = 400;

/** Returns the fraction of many choices that each target gets. */
const sharesOf = (candidates: readonly Candidate[]): Readonly<Record<string, number>> => {
  const random = routing.createRandom(1);
  const counts: Record<string, number> = {};
  for (let draw = 0; draw < drawCount; draw += 1) {
    const key = chooseTarget(candidates, { nowMs: 1_000, random: random.fraction })?.key ?? 'none';
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return Object.fromEntries(Object.entries(counts).map(([key, count]) => [key, count / drawCount]));
};

const choose = (candidates: readonly Candidate[], random: () => number) =>
  chooseTarget(candidates, { nowMs: 1_000, random })?.key;

test('stays in the local failure domain until it is clearly more loaded', () => {
  const near = (inFlight: number) => candidate('near', withStats({ inFlight }));
  const far = candidate('far', { isSameDomain: false });
  assert.is(sharesOf([far, near(2)]).near, 1);
  assert.is(sharesOf([far, near(12)]).far, 1);
});

test('takes into account the requests that other daemons have in progress', () => {
  const { idle = 0 } = sharesOf([candidate('busy', { otherInFlight: 12 }), candidate('idle')]);
  assert.ok(idle > 0.75, `${idle} of the requests went to the idle target`);
});

test('chooses a full target only when all are full', () => {
  const full = candidate('full', { otherInFlight: slots - 1 });
  assert.is(sharesOf([full, candidate('other', { otherInFlight: slots - 2 })]).other, 1);
  assert.is(sharesOf([full]).full, 1);
});

test('prefers targets that are neither slow nor failing, and chooses avoided ones only without alternatives', () => {
  const { slow = 0 } = sharesOf([candidate('slow', withStats({ gapMs: 400 })), candidate('usual')]);
  assert.ok(slow < 0.01, `${slow} of the requests went to the slow target`);
  const { failing = 0 } = sharesOf([
    candidate('failing', withStats({ failureRate: 0.5 })),
    candidate('usual'),
  ]);
  assert.ok(failing < 0.01, `${failing} of the requests went to the failing target`);
  const avoided = candidate('avoided', withStats({ avoidUntilMs: 2_000 }));
  assert.is(sharesOf([avoided, candidate('other', withStats({ inFlight: 17 }))]).other, 1);
  assert.is(sharesOf([avoided]).avoided, 1);
  assert.is(sharesOf([]).none, 1);
});

/** Simulates arrivals at daemons that learn of each other's load with a delay; returns the highest load of a head. */
const simulateArrivals = (arrivalsPerPublish: number): number => {
  const daemonCount = 6;
  const heads = ['h1', 'h2', 'h3'];
  const random = routing.createRandom(2);
  const trackers = Array.from({ length: daemonCount }, () => createTargetTracker());
  let published = trackers.map((one) => one.loads());
  const total = (key: string) => trackers.reduce((sum, one) => sum + one.read(key, 0).inFlight, 0);
  for (let arrival = 0; arrival < 48; arrival += 1) {
    if (arrival % arrivalsPerPublish === 0) published = trackers.map((one) => one.loads());
    const self = arrival % daemonCount;
    const known = published;
    const othersAt = (key: string) =>
      known.reduce((sum, loads, index) => sum + (index === self ? 0 : (loads[key] ?? 0)), 0);
    const chosen = choose(
      heads.map((key) =>
        candidate(key, {
          otherInFlight: othersAt(key),
          stats: trackers[self]!.read(key, 0),
        }),
      ),
      random.fraction,
    );
    trackers[self]!.onSend(chosen!, 0);
  }
  return Math.max(...heads.map(total));
};

test("spreads load over heads although daemons learn of each other's load late", () => {
  assert.ok(
    simulateArrivals(6) <= slots,
    `${simulateArrivals(6)} requests at one head of ${slots} slots`,
  );
});

test.run();
