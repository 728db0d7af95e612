import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as routing from './index';

const test = uvu.suite('leading suspect attribution');

const createQuarantine = () =>
  routing.createQuarantine({
    attribution: new routing.LeadingSuspectAttribution(),
    sameLossMs: 500,
  });

let lossCount = 0;

/** Loses a new target that was running the given requests. */
const crash = (quarantine: routing.Quarantine, fingerprints: readonly string[], nowMs: number) => {
  lossCount += 1;
  const target = { targetId: `t${lossCount}`, generation: 1, failureDomain: 'a' };
  fingerprints.forEach((fingerprint, index) =>
    quarantine.onDispatch(`${lossCount}/${index}`, fingerprint, target, nowMs),
  );
  return quarantine.onTargetLost(target, nowMs);
};

test('quarantines a request after its third loss, also if all are close in time and domain', () => {
  const quarantine = createQuarantine();
  [0, 10].forEach((atMs) => crash(quarantine, ['crashing', `other-${atMs}`], atMs));
  assert.is(quarantine.check('crashing', 10).kind, 'suspect');
  crash(quarantine, ['crashing', 'other-20'], 20);
  assert.is(quarantine.check('crashing', 20).kind, 'quarantined');
  assert.is(quarantine.check('other-20', 20).kind, 'suspect');
});

test('waits for a further loss while another request was on the same lost targets', () => {
  const quarantine = createQuarantine();
  [0, 10, 20].forEach((atMs) => crash(quarantine, ['crashing', 'beside'], atMs));
  assert.is(quarantine.check('crashing', 20).kind, 'suspect');
  assert.is(quarantine.check('beside', 20).kind, 'suspect');
  crash(quarantine, ['crashing'], 30);
  assert.is(quarantine.check('crashing', 30).kind, 'quarantined');
  assert.is(quarantine.check('beside', 30).kind, 'suspect');
});

test('quarantines two requests that are on the same six lost targets', () => {
  const quarantine = createQuarantine();
  [0, 10, 20, 30, 40].forEach((atMs) => crash(quarantine, ['one', 'two'], atMs));
  assert.is(quarantine.check('one', 40).kind, 'suspect');
  crash(quarantine, ['one', 'two'], 50);
  assert.is(quarantine.check('one', 50).kind, 'quarantined');
  assert.is(quarantine.check('two', 50).kind, 'quarantined');
});

test('does not quarantine a request whose losses are led by several crashing ones', () => {
  const quarantine = createQuarantine();
  ['one', 'two', 'three'].forEach((crashing, index) => {
    crash(quarantine, [crashing, 'beside'], index);
    [0, 1, 2].forEach(() => crash(quarantine, [crashing], 10 + index));
  });
  assert.is(quarantine.check('beside', 20).kind, 'suspect');
  ['one', 'two', 'three'].forEach((crashing) =>
    assert.is(quarantine.check(crashing, 20).kind, 'quarantined'),
  );
});

test('clears a request that completes, and lets it be suspected anew', () => {
  const quarantine = createQuarantine();
  const other = createQuarantine();
  [0, 10].forEach((atMs) => other.onUpdate(crash(quarantine, ['frequent'], atMs), atMs));
  const target = { targetId: 'sound', generation: 1, failureDomain: 'a' };
  quarantine.onDispatch('sound', 'frequent', target, 15);
  const cleared = quarantine.onEnd('sound', 'completed', 16);
  if (cleared === undefined) throw new Error('the completed run cleared nothing');
  other.onUpdate(cleared, 17);
  other.onUpdate(crash(quarantine, ['frequent'], 20), 20);
  assert.is(quarantine.check('frequent', 20).kind, 'suspect');
  assert.is(other.check('frequent', 20).kind, 'suspect');
});

test('does not suspect a request that the target rejected', () => {
  const quarantine = createQuarantine();
  const target = { targetId: 'full', generation: 1, failureDomain: 'a' };
  quarantine.onDispatch('r1', 'rejected', target, 0);
  quarantine.onEnd('r1', 'not-run', 1);
  quarantine.onTargetLost(target, 2);
  assert.is(quarantine.check('rejected', 2).kind, 'clear');
});

test('suspects the requests that were sent to the head of a group that lost a member', () => {
  const quarantine = createQuarantine();
  const head = { targetId: 'head', generation: 1, failureDomain: 'a' };
  const member = { targetId: 'member', generation: 4, failureDomain: '' };
  quarantine.onDispatch('r1', 'f', head, 0);
  assert.equal(quarantine.onTargetLost(member, 1, head).fingerprints, ['f']);
  assert.is(quarantine.check('f', 1).kind, 'suspect');
});

test('does not suspect a request that was sent to a head after its group lost a member', () => {
  const quarantine = createQuarantine();
  const head = { targetId: 'head', generation: 1, failureDomain: 'a' };
  const member = { targetId: 'member', generation: 1, failureDomain: 'a' };
  quarantine.onDispatch('r1', 'before', head, 0);
  quarantine.onTargetLost(member, 10, head);
  quarantine.onDispatch('r2', 'after', head, 20);
  quarantine.onTargetLost(member, 30, head);
  assert.is(quarantine.check('before', 30).kind, 'suspect');
  assert.is(quarantine.check('after', 30).kind, 'clear');
  quarantine.onTargetLost(head, 40);
  assert.is(quarantine.check('after', 40).kind, 'suspect');
});

test('counts every crash of a target that restarts before the list shows its new run', () => {
  const quarantine = createQuarantine();
  const other = createQuarantine();
  const target = { targetId: 'restarting', generation: 1, failureDomain: 'a' };
  [0, 1_500, 3_000].forEach((atMs) => {
    quarantine.onDispatch(`r${atMs}`, 'f', target, atMs);
    other.onUpdate(quarantine.onTargetLost(target, atMs + 10), atMs + 15);
  });
  assert.is(quarantine.check('f', 3_010).kind, 'quarantined');
  assert.is(other.check('f', 3_015).kind, 'quarantined');
});

test('counts one crash that several daemons report once', () => {
  const quarantine = createQuarantine();
  const target = { targetId: 'ended', generation: 1, failureDomain: 'a' };
  const loss = { kind: 'loss', target, fingerprints: ['f'] } as const;
  [10, 200, 400].forEach((ageMs) => quarantine.onUpdate({ ...loss, ageMs }, 1_000));
  assert.is(quarantine.lossesOf('f', 1_000).length, 1);
});

test('clears all crashes of a restarting target', () => {
  const quarantine = createQuarantine();
  const target = { targetId: 'restarting', generation: 1, failureDomain: 'a' };
  const loss = { kind: 'loss', target, fingerprints: ['f'] } as const;
  [0, 1_000].forEach((atMs) => quarantine.onUpdate({ ...loss, ageMs: 0 }, atMs));
  quarantine.onUpdate({ kind: 'cleared', fingerprint: 'f', targetKeys: ['restarting@1'] }, 1_100);
  assert.is(quarantine.check('f', 1_100).kind, 'clear');
});

test('applies a verdict of another daemon until it expires or a run completes', () => {
  const quarantine = createQuarantine();
  const verdict = { kind: 'quarantined', ageMs: 100 } as const;
  quarantine.onUpdate({ ...verdict, fingerprint: 'f' }, 1_000);
  assert.equal(quarantine.check('f', 1_000), { kind: 'quarantined', retryAfterMs: 599_900 });
  assert.is(quarantine.check('f', 600_900).kind, 'clear');
  const target = { targetId: 'sound', generation: 1, failureDomain: 'a' };
  quarantine.onDispatch('r1', 'g', target, 0);
  quarantine.onUpdate({ ...verdict, fingerprint: 'g' }, 1_000);
  assert.ok(quarantine.onEnd('r1', 'completed', 1_100) !== undefined);
  assert.is(quarantine.check('g', 1_100).kind, 'clear');
});

test.run();
