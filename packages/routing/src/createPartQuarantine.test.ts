import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as routing from './index';

const test = uvu.suite('part quarantine');

/** By this time after the losses, completions on all daemons are known. */
const settledMs = 2_000;

let lossCount = 0;
let requestCount = 0;

/** Returns a new request with the given parts. */
const request = (...partIds: readonly string[]): routing.RequestParts => {
  requestCount += 1;
  return { fingerprint: `f${requestCount}`, partIds };
};

const lossOf = (
  requestParts: readonly routing.RequestParts[],
  targetId = `t${(lossCount += 1)}`,
): routing.LossUpdate => ({
  kind: 'loss',
  target: { targetId, generation: 1, failureDomain: 'a' },
  fingerprints: requestParts.map(({ fingerprint }) => fingerprint),
  requestParts,
  ageMs: 0,
});

/** Completes two requests that share no part with others. */
const completeOthers = (quarantine: routing.PartQuarantine, nowMs: number) =>
  [1, 2].forEach(() => quarantine.onRequestCompleted([], nowMs));

const createQuarantine = () => {
  const quarantine = routing.createPartQuarantine();
  return {
    ...quarantine,
    /** Loses a new target that was running the given requests. */
    lose: (...requests: readonly routing.RequestParts[]) => quarantine.onLoss(lossOf(requests), 0),
    /** Returns the status of a part once other requests have completed. */
    kindOf: (partId: string) => {
      completeOthers(quarantine, settledMs);
      return quarantine.check(partId, settledMs).kind;
    },
  };
};

test('quarantines a part that three lost requests share', () => {
  const { lose, kindOf } = createQuarantine();
  [1, 2].forEach((count) => lose(request('bad', `other-${count}`)));
  assert.is(kindOf('bad'), 'suspect');
  lose(request('bad', 'other-3'));
  assert.is(kindOf('bad'), 'quarantined');
  assert.is(kindOf('other-3'), 'suspect');
  assert.is(kindOf('another'), 'clear');
});

test('does not quarantine the parts of a single request that is sent again and again', () => {
  const { lose, kindOf } = createQuarantine();
  const [one, two] = [request('system', 'document'), request('system', 'document')];
  for (let count = 0; count < 8; count += 1) lose(one, two);
  assert.is(kindOf('system'), 'suspect');
  assert.is(kindOf('document'), 'suspect');
});

test('holds a part while requests with it leave no other one the time to complete', () => {
  const { lose, check, onLoss, onRequestCompleted } = createQuarantine();
  // The parts of the other request have completed on the daemon that lost it.
  for (let count = 0; count < 4; count += 1) lose(request('bad'), request());
  const first = check('bad', settledMs);
  assert.is(first.kind, 'held');
  assert.ok(first.kind === 'held' && first.retryAfterMs > 0);
  assert.is(check('bad', settledMs + 10_000).kind, 'suspect');
  onLoss(lossOf([request('bad')]), settledMs + 11_000);
  assert.is(check('bad', settledMs + 12_000).kind, 'held');
  [1, 2].forEach(() => onRequestCompleted([], settledMs + 12_100));
  assert.is(check('bad', settledMs + 12_200).kind, 'quarantined');
});

test('does not hold a part that others explain as well', () => {
  const { lose, check } = createQuarantine();
  for (let count = 0; count < 4; count += 1) lose(request('system', 'bad'));
  assert.is(check('system', settledMs).kind, 'suspect');
  assert.is(check('bad', settledMs).kind, 'suspect');
});

test('waits for completions on other daemons before it quarantines', () => {
  const { lose, check, onRequestCompleted } = createQuarantine();
  for (let count = 0; count < 6; count += 1) lose(request('bad'));
  [1, 2].forEach(() => onRequestCompleted([], 100));
  assert.is(check('bad', 500).kind, 'suspect');
  assert.is(check('bad', settledMs).kind, 'quarantined');
});

test('does not quarantine a part while no request without it completes', () => {
  const { lose, check, onRequestCompleted } = createQuarantine();
  onRequestCompleted([], -1);
  for (let count = 0; count < 6; count += 1) lose(request('system'));
  onRequestCompleted(['system'], 100);
  onRequestCompleted([], 200);
  assert.is(check('system', settledMs).kind, 'suspect');
  onRequestCompleted([], 300);
  assert.is(check('system', settledMs).kind, 'quarantined');
});

test('does not tell two parts of the same lost requests apart', () => {
  const { lose, kindOf, onCompleted } = createQuarantine();
  for (let count = 0; count < 10; count += 1) lose(request('system', 'bad'));
  assert.is(kindOf('system'), 'suspect');
  assert.is(kindOf('bad'), 'suspect');
  onCompleted('system', 100);
  assert.is(kindOf('system'), 'clear');
  assert.is(kindOf('bad'), 'quarantined');
});

test('quarantines the part in fewer requests after five losses with another one', () => {
  const { lose, kindOf } = createQuarantine();
  for (let count = 0; count < 4; count += 1) lose(request('system', 'bad'), request('system'));
  assert.is(kindOf('bad'), 'suspect');
  lose(request('system', 'bad'), request('system'));
  assert.is(kindOf('system'), 'suspect');
  assert.is(kindOf('bad'), 'quarantined');
});

test('does not quarantine a widely shared part that has one more loss than a crashing one', () => {
  const { lose, kindOf } = createQuarantine();
  for (let count = 0; count < 6; count += 1) lose(request('system', 'bad'), request('system'));
  lose(request('system'), request('system'));
  assert.is(kindOf('system'), 'suspect');
  assert.is(kindOf('bad'), 'quarantined');
});

test('does not quarantine a part that two crashing ones share', () => {
  const { lose, kindOf } = createQuarantine();
  for (let count = 0; count < 6; count += 1) {
    lose(request('system', 'bad-1'), request('system'));
    lose(request('system', 'bad-2'), request('system'));
  }
  assert.is(kindOf('system'), 'suspect');
});

test('does not quarantine a rare part that is lost beside a crashing one', () => {
  const { lose, kindOf } = createQuarantine();
  for (let count = 0; count < 12; count += 1) {
    lose(request('bad'), ...(count % 4 === 0 ? [request('rare')] : []));
  }
  assert.is(kindOf('rare'), 'suspect');
  assert.is(kindOf('bad'), 'quarantined');
});

test('is not held up by parts of single requests that were lost twice', () => {
  const { lose, kindOf } = createQuarantine();
  for (let count = 0; count < 3; count += 1) {
    const repeated = request('bad', `of-request-${count}`);
    lose(repeated);
    lose(repeated);
  }
  assert.is(kindOf('bad'), 'quarantined');
});

test('clears a part that completes, and suspects it anew', () => {
  const { lose, kindOf, onCompleted } = createQuarantine();
  for (let count = 0; count < 2; count += 1) lose(request('frequent'));
  assert.is(onCompleted('frequent', 100)?.length, 2);
  assert.is(kindOf('frequent'), 'clear');
  assert.is(onCompleted('frequent', 100), undefined);
  lose(request('frequent'));
  assert.is(kindOf('frequent'), 'suspect');
});

test('does not suspect a cleared part when another daemon reports the same loss', () => {
  const { kindOf, onLoss, onCleared } = createQuarantine();
  const loss = lossOf([request('frequent')]);
  onLoss(loss, 0);
  onCleared('frequent', ['t-other@1', `${loss.target.targetId}@1`]);
  onLoss({ ...loss, requestParts: [request('frequent')], ageMs: 300 }, 400);
  assert.is(kindOf('frequent'), 'clear');
});

test('counts one loss that several daemons report once, and crashes of a restarted target each', () => {
  const { kindOf, onLoss } = createQuarantine();
  [10, 200, 400].forEach((ageMs) => onLoss({ ...lossOf([request('f')], 'once'), ageMs }, 1_000));
  assert.is(kindOf('f'), 'suspect');
  [0, 1_000, 2_000].forEach((atMs) => onLoss(lossOf([request('g')], 'restarting'), atMs));
  assert.is(kindOf('g'), 'quarantined');
});

test('lifts a verdict only for a run that was sent after the first loss', () => {
  const quarantine = routing.createPartQuarantine();
  for (let count = 0; count < 3; count += 1) quarantine.onLoss(lossOf([request('bad')]), 1_000);
  completeOthers(quarantine, 2_000);
  assert.is(quarantine.check('bad', 3_000).kind, 'quarantined');
  assert.is(quarantine.onCompleted('bad', 900), undefined);
  assert.is(quarantine.check('bad', 3_000).kind, 'quarantined');
  assert.ok(quarantine.onCompleted('bad', 1_100) !== undefined);
  assert.is(quarantine.check('bad', 3_000).kind, 'clear');
});

test('applies a verdict of another daemon until it expires or is cleared', () => {
  const quarantine = routing.createPartQuarantine();
  quarantine.onVerdict('bad', 100, 1_000);
  assert.equal(quarantine.check('bad', 1_000), { kind: 'quarantined', retryAfterMs: 599_900 });
  assert.is(quarantine.check('bad', 600_900).kind, 'clear');
  quarantine.onVerdict('bad', 100, 1_000);
  quarantine.onCleared('bad', []);
  assert.is(quarantine.check('bad', 1_000).kind, 'clear');
});

test('forgets losses after their lifetime', () => {
  const quarantine = routing.createPartQuarantine({ lifetimeMs: 10_000 });
  for (let count = 0; count < 5; count += 1) quarantine.onLoss(lossOf([request('bad')]), 0);
  completeOthers(quarantine, settledMs);
  assert.is(quarantine.check('bad', settledMs).kind, 'quarantined');
  assert.is(quarantine.check('bad', 10_000 + settledMs).kind, 'clear');
});

test('keeps a bounded number of losses', () => {
  const quarantine = routing.createPartQuarantine();
  for (let count = 0; count < 2_000; count += 1) {
    quarantine.onLoss(lossOf([request('frequent')]), count);
  }
  assert.is(quarantine.lostTargetIdsOf('frequent').length, 512);
});

test.run();
