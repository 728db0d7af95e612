import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as routing from './index';

const test = uvu.suite('quarantine');

const target = (targetId: string, failureDomain: string, generation = 1): routing.CrashTarget => ({
  targetId,
  failureDomain,
  generation,
});

const t1 = target('t1', 'derby-a');
const t2 = target('t2', 'notts-b');
const t3 = target('t3', 'derby-a');
const t4 = target('t4', 'derby-a');

const crash = (
  quarantine: routing.Quarantine,
  fingerprint: string,
  on: routing.CrashTarget,
  nowMs: number,
) => {
  quarantine.onDispatch(`${fingerprint}-${on.targetId}`, fingerprint, on, nowMs);
  return quarantine.onTargetLost(on, nowMs + 10);
};

test('marks a request suspect after one crash and quarantines it after a second on another target', () => {
  const quarantine = routing.createQuarantine();
  crash(quarantine, 'f', t1, 0);
  const status = quarantine.check('f', 20);
  assert.is(status.kind, 'suspect');
  assert.ok(status.kind === 'suspect' && status.lostTargetKeys.has('t1@1'));
  crash(quarantine, 'f', t2, 100);
  assert.is(quarantine.check('f', 120).kind, 'quarantined');
  assert.is(quarantine.check('g', 120).kind, 'clear');
});

test('counts one crash once even if several daemons report it', () => {
  const quarantine = routing.createQuarantine();
  const update = crash(quarantine, 'f', t1, 0);
  quarantine.onUpdate({ ...update, ageMs: 5 }, 30);
  quarantine.onUpdate(update, 5_000);
  assert.is(quarantine.check('f', 5_000).kind, 'suspect');
});

test('applies the losses reported by another daemon', () => {
  const sender = routing.createQuarantine();
  const receiver = routing.createQuarantine();
  receiver.onUpdate(crash(sender, 'f', t1, 0), 700);
  assert.is(receiver.check('f', 700).kind, 'suspect');
  receiver.onUpdate(crash(sender, 'f', t2, 1_000), 1_500);
  assert.is(receiver.check('f', 1_500).kind, 'quarantined');
});

test('does not suspect requests when a whole failure domain fails', () => {
  const quarantine = routing.createQuarantine();
  [t1, t3, t4].forEach((lost, index) =>
    quarantine.onDispatch(`r${index}`, `f${index}`, lost, index),
  );
  [t1, t3, t4].forEach((lost, index) => quarantine.onTargetLost(lost, 100 + index * 300));
  [0, 1, 2].forEach((index) => assert.is(quarantine.check(`f${index}`, 800).kind, 'clear'));
});

test('counts simultaneous losses in one failure domain as one crash', () => {
  const quarantine = routing.createQuarantine();
  [t1, t3, t4].forEach((lost) => quarantine.onDispatch(`copy-${lost.targetId}`, 'f', lost, 0));
  [t1, t3, t4].forEach((lost, index) => quarantine.onTargetLost(lost, 100 + index * 300));
  assert.is(quarantine.check('f', 800).kind, 'suspect');
  crash(quarantine, 'f', t2, 900);
  assert.is(quarantine.check('f', 920).kind, 'quarantined');
});

test('quarantines two requests that crash targets in different failure domains at the same time', () => {
  const quarantine = routing.createQuarantine();
  crash(quarantine, 'f', t1, 0);
  crash(quarantine, 'f', t2, 100);
  crash(quarantine, 'g', t3, 200);
  assert.is(quarantine.check('g', 220).kind, 'suspect');
  crash(quarantine, 'g', target('t5', 'notts-b'), 300);
  assert.is(quarantine.check('f', 320).kind, 'quarantined');
  assert.is(quarantine.check('g', 320).kind, 'quarantined');
});

test('counts crashes in one failure domain separately if they are far enough apart in time', () => {
  const quarantine = routing.createQuarantine();
  crash(quarantine, 'f', t1, 0);
  const status = quarantine.check('f', 20);
  assert.ok(status.kind === 'suspect' && status.lostFailureDomains.has('derby-a'));
  assert.ok(status.kind === 'suspect' && status.settledAtMs === 2_510);
  crash(quarantine, 'f', t3, 2_600);
  assert.is(quarantine.check('f', 2_620).kind, 'quarantined');
});

test('adds the failure domain to a loss that was first recorded without it', () => {
  const quarantine = routing.createQuarantine();
  quarantine.onTargetLost({ ...t1, failureDomain: '' }, 0);
  quarantine.onUpdate({ kind: 'loss', target: t1, fingerprints: ['f'], ageMs: 0 }, 5);
  const status = quarantine.check('f', 10);
  assert.ok(status.kind === 'suspect' && status.lostFailureDomains.has('derby-a'));
});

test('clears a suspect that completes, locally and on daemons that receive the update', () => {
  const quarantine = routing.createQuarantine();
  const receiver = routing.createQuarantine();
  receiver.onUpdate(crash(quarantine, 'f', t1, 0), 10);
  quarantine.onDispatch('again', 'f', t2, 50);
  const cleared = quarantine.onEnd('again', 'completed', 900);
  assert.is(quarantine.check('f', 900).kind, 'clear');
  assert.ok(cleared);
  receiver.onUpdate(cleared, 950);
  assert.is(receiver.check('f', 950).kind, 'clear');
});

test('keeps a request suspect when its run is stopped', () => {
  const quarantine = routing.createQuarantine();
  crash(quarantine, 'f', t1, 0);
  quarantine.onDispatch('again', 'f', t2, 50);
  assert.is(quarantine.onEnd('again', 'stopped', 60), undefined);
  assert.is(quarantine.check('f', 70).kind, 'suspect');
});

test('attributes the loss of a target to a recently stopped run, but not to an earlier one', () => {
  const quarantine = routing.createQuarantine();
  quarantine.onDispatch('soon', 'f', t1, 0);
  quarantine.onDispatch('late', 'g', t2, 0);
  quarantine.onEnd('soon', 'stopped', 20);
  quarantine.onEnd('late', 'stopped', 20);
  assert.equal(quarantine.onTargetLost(t1, 2_000).fingerprints, ['f']);
  assert.equal(quarantine.onTargetLost(t2, 3_100).fingerprints, []);
});

test('counts a new generation of a group as a different target', () => {
  const quarantine = routing.createQuarantine();
  crash(quarantine, 'f', t1, 0);
  crash(quarantine, 'f', target('t1', 'derby-a', 2), 60_000);
  assert.is(quarantine.check('f', 70_000).kind, 'quarantined');
});

test('provides the losses from which another daemon derives the same status', () => {
  const quarantine = routing.createQuarantine();
  const receiver = routing.createQuarantine();
  crash(quarantine, 'f', t1, 0);
  crash(quarantine, 'f', t2, 100);
  quarantine.lossesOf('f', 500).forEach((update) => receiver.onUpdate(update, 500));
  assert.is(receiver.check('f', 500).kind, 'quarantined');
  assert.equal(quarantine.lossesOf('g', 500), []);
});

test('expires entries', () => {
  const quarantine = routing.createQuarantine({ lifetimeMs: 1_000 });
  crash(quarantine, 'f', t1, 0);
  crash(quarantine, 'f', t2, 100);
  const status = quarantine.check('f', 600);
  assert.ok(status.kind === 'quarantined' && status.retryAfterMs === 510);
  assert.is(quarantine.check('f', 1_200).kind, 'clear');
  assert.is(quarantine.size(), 0);
});

test('keeps a bounded number of entries', () => {
  const quarantine = routing.createQuarantine({ maxEntries: 10 });
  Array.from({ length: 50 }, (_, index) => crash(quarantine, `f${index}`, t1, index * 10_000));
  assert.is(quarantine.size(), 10);
});

test.run();
