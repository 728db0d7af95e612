import * as clock from '@comfreydrum/clock';
import type * as routing from '@comfreydrum/routing';
import * as telemetry from '@comfreydrum/telemetry';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createCrashGuard } from './createCrashGuard';
import { createMemoryLinks } from './testing/createMemoryLinks';

const test = uvu.suite('crash guard');

const handoverMs = 5_000;
const ids = ['entry-0', 'entry-1', 'entry-2'];

const createGuards = () => {
  const manual = clock.createManualClock();
  const memory = createMemoryLinks(ids);
  const guards = memory.links.map((link) =>
    createCrashGuard({
      link,
      clock: manual,
      timeline: telemetry.createTimeline(link.selfId, clock.createHybridClock(manual)),
    }),
  );
  const requestPermit = (
    daemon: number,
    fingerprint: string,
    target: routing.CrashTarget,
    runId: string,
  ) =>
    guards[daemon]!.permits.request({
      fingerprint,
      requestId: runId,
      target,
      holderId: ids[daemon]!,
      losses: guards[daemon]!.lossesOf(fingerprint),
    });
  guards.forEach((guard) => guard.permits.checkRole());
  return { manual, memory, guards, requestPermit };
};

const target = (targetId: string, failureDomain: string): routing.CrashTarget => ({
  targetId,
  failureDomain,
  generation: 1,
});

const t1 = target('t1', 'pamplona-a');
const t2 = target('t2', 'pamplona-b');
const t3 = target('t3', 'baztan');

/** Advances the clock by the time that a new coordinator waits. */
const awaitHandover = ({ manual }: ReturnType<typeof createGuards>) => {
  manual.advance(handoverMs);
};

test('notifies every daemon of a suspect before onTargetLost resolves', async () => {
  const { guards } = createGuards();
  guards[1]!.onDispatch('r/1', 'f', t1);
  await guards[1]!.onTargetLost(t1);
  guards.forEach((guard) => assert.is(guard.check('f').kind, 'suspect'));
});

test('quarantines a request on every daemon once two daemons have lost a target to it', async () => {
  const { guards } = createGuards();
  guards[1]!.onDispatch('r/1', 'f', t1);
  await guards[1]!.onTargetLost(t1);
  guards[2]!.onDispatch('s/1', 'f', t2);
  await guards[2]!.onTargetLost(t2);
  guards.forEach((guard) => assert.is(guard.check('f').kind, 'quarantined'));
});

test('runs a suspect on one daemon at a time', async () => {
  const fleet = createGuards();
  awaitHandover(fleet);
  const { guards, requestPermit } = fleet;
  guards[1]!.onDispatch('r/1', 'f', t1);
  await guards[1]!.onTargetLost(t1);
  assert.is((await requestPermit(1, 'f', t2, 'r/2')).kind, 'granted');
  assert.is((await requestPermit(2, 'f', t3, 's/1')).kind, 'wait');
  guards[1]!.onDispatch('r/2', 'f', t2);
  guards[1]!.onEnd('r/2', 'completed');
  assert.is((await requestPermit(2, 'f', t3, 's/1')).kind, 'granted');
});

test('grants immediately once the coordinator has held its role for longer than a permit lease', async () => {
  const { manual, guards, requestPermit } = createGuards();
  manual.advance(handoverMs);
  guards[1]!.onDispatch('r/1', 'f', t1);
  await guards[1]!.onTargetLost(t1);
  assert.is((await requestPermit(1, 'f', t2, 'r/2')).kind, 'granted');
});

test('waits for the permits of an earlier coordinator to expire', async () => {
  const { manual, memory, guards, requestPermit } = createGuards();
  manual.advance(handoverMs);
  memory.setPartitioned('entry-0', true);
  guards[1]!.permits.checkRole();
  guards[1]!.onDispatch('r/1', 'f', t1);
  await guards[1]!.onTargetLost(t1);
  assert.is((await requestPermit(2, 'f', t2, 's/1')).kind, 'wait');
  manual.advance(handoverMs);
  assert.is((await requestPermit(2, 'f', t2, 's/1')).kind, 'granted');
});

test('the coordinator counts the second lost target of a suspect whose daemon died with it', async () => {
  const fleet = createGuards();
  awaitHandover(fleet);
  const { guards, memory, requestPermit } = fleet;
  guards[1]!.onDispatch('r/1', 'f', t1);
  await guards[1]!.onTargetLost(t1);
  await requestPermit(1, 'f', t2, 'r/2');
  memory.setPartitioned('entry-1', true);
  guards[0]!.onGroupBroken('t2', 1);
  const answer = await requestPermit(2, 'f', t3, 's/1');
  assert.is(answer.kind, 'quarantined');
});

test('the coordinator takes the losses of the requesting daemon into account', async () => {
  const fleet = createGuards();
  awaitHandover(fleet);
  const { guards, memory, requestPermit } = fleet;
  memory.setPartitioned('entry-1', true);
  guards[1]!.onDispatch('r/1', 'f', t1);
  guards[1]!.onDispatch('s/1', 'f', t2);
  await guards[1]!.onTargetLost(t1);
  await guards[1]!.onTargetLost(t2);
  memory.setPartitioned('entry-1', false);
  assert.is(guards[0]!.check('f').kind, 'clear');
  assert.is((await requestPermit(1, 'f', t3, 'r/2')).kind, 'quarantined');
  assert.is(guards[0]!.check('f').kind, 'quarantined');
});

test('calls no peer for requests that are not suspect', () => {
  const { guards, memory } = createGuards();
  guards[1]!.onDispatch('r/1', 'f', t1);
  guards[1]!.onEnd('r/1', 'completed');
  guards[1]!.onDispatch('r/2', 'f', t1);
  guards[1]!.onEnd('r/2', 'stopped');
  assert.is(memory.callCount(), 0);
});

test.run();
