import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { chooseTarget, type Candidate } from './chooseTarget';
import { createTargetBoard } from './createTargetBoard';

const test = uvu.suite('choice of targets');

const slots = 18;
const board = createTargetBoard();

const candidate = (key: string, fields: Partial<Candidate> = {}): Candidate => ({
  key,
  targetId: key,
  address: '127.0.0.1:1',
  groupKey: key,
  isSameDomain: true,
  slots,
  expectedMs: 50,
  otherInFlight: 0,
  evidence: board.read(key, 0),
  ...fields,
});

const evidence = (fields: Partial<Candidate['evidence']>) => ({
  evidence: { ...board.read('fresh', 0), ...fields },
});

const choose = (candidates: readonly Candidate[]) =>
  chooseTarget(candidates, { nowMs: 1_000, random: () => 0 })?.key;

test('prefers the own failure domain until it is clearly fuller', () => {
  const near = (inFlight: number) => candidate('near', evidence({ inFlight }));
  const far = candidate('far', { isSameDomain: false });
  assert.is(choose([far, near(2)]), 'near');
  assert.is(choose([far, near(12)]), 'far');
});

test('counts what other daemons have in progress', () => {
  assert.is(choose([candidate('busy', { otherInFlight: 10 }), candidate('idle')]), 'idle');
});

test('avoids slow and failing targets, and those to be avoided unless there is no other', () => {
  assert.is(choose([candidate('slow', evidence({ gapMs: 400 })), candidate('usual')]), 'usual');
  assert.is(
    choose([candidate('failing', evidence({ failureShare: 0.5 })), candidate('usual')]),
    'usual',
  );
  const avoided = candidate('avoided', evidence({ avoidUntilMs: 2_000 }));
  assert.is(choose([avoided, candidate('other', evidence({ inFlight: 17 }))]), 'other');
  assert.is(choose([avoided]), 'avoided');
  assert.is(choose([]), undefined);
});

/** Plays arrivals at daemons that know of each other with a delay, and gives the fullest head. */
const playArrivals = (tellEvery: number): number => {
  const daemonCount = 6;
  const heads = ['h1', 'h2', 'h3'];
  const boards = Array.from({ length: daemonCount }, () => createTargetBoard());
  let told = boards.map((one) => one.loads());
  const total = (key: string) => boards.reduce((sum, one) => sum + one.read(key, 0).inFlight, 0);
  for (let arrival = 0; arrival < 48; arrival += 1) {
    if (arrival % tellEvery === 0) told = boards.map((one) => one.loads());
    const self = arrival % daemonCount;
    const known = told;
    const othersAt = (key: string) =>
      known.reduce((sum, loads, index) => sum + (index === self ? 0 : (loads[key] ?? 0)), 0);
    const chosen = choose(
      heads.map((key) =>
        candidate(key, {
          otherInFlight: othersAt(key),
          evidence: boards[self]!.read(key, 0),
        }),
      ),
    );
    boards[self]!.onSend(chosen!, 0);
  }
  return Math.max(...heads.map(total));
};

test('spreads a load over heads though daemons know of each other late', () => {
  assert.ok(playArrivals(6) <= slots, `${playArrivals(6)} requests at one head of ${slots} places`);
});

test.run();
