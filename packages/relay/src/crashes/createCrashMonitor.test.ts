import * as clocks from '@comfreydrum/clock';
import type * as routing from '@comfreydrum/routing';
import * as telemetry from '@comfreydrum/telemetry';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createTargetTracker } from '../createTargetTracker';
import { createCrashMonitor, type MonitoredRun } from './createCrashMonitor';

const test = uvu.suite('crash monitor');

const stats = createTargetTracker().read('any', 0);

const createRun = (
  fingerprint: string,
  targetId: string,
  sharedPartIds: readonly string[] = [],
): MonitoredRun => ({
  runId: `${fingerprint}/${targetId}`,
  fingerprint,
  sharedPartIds,
  hasPrompt: true,
  isResumed: false,
  candidate: {
    key: `${targetId}@1`,
    targetId,
    startedAtMs: 1,
    failureDomain: 'a',
    address: '127.0.0.1:1',
    groupKey: undefined,
    isSameDomain: true,
    slots: 4,
    expectedMs: 50,
    otherInFlight: 0,
    stats,
  },
});

/** Creates a monitor for which all targets have ended, unless `hasEnded` says otherwise. */
const createMonitor = (hasEnded: () => Promise<boolean> = async () => true) => {
  const published: routing.QuarantineUpdate[] = [];
  const clock = clocks.createManualClock();
  const monitor = createCrashMonitor({
    clock,
    log: telemetry.createLog({ level: 'silent', instanceId: 'test' }),
    processCheck: { hasEnded },
    crashedRuns: telemetry.createMetrics().counter('crashed_runs', 'Crashed runs.', []),
    publish: (update) => published.push(update),
  });
  return { monitor, published, clock };
};

const settle = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

test('quarantines a request whose third target ended, and reports it to other daemons', async () => {
  const { monitor, published } = createMonitor();
  for (const targetId of ['t1', 't2', 't3']) {
    assert.is.not(monitor.check('f').kind, 'quarantined');
    const run = createRun('f', targetId);
    monitor.onDispatch(run);
    await monitor.onEnd(run, 'broken');
    await settle();
  }
  assert.is(monitor.check('f').kind, 'quarantined');
  assert.equal(
    published.map(({ kind }) => kind),
    ['loss', 'loss', 'loss', 'quarantined'],
  );
  assert.is(monitor.verdicts().length, 1);
});

test('suspects no request whose target still listens after its connection broke', async () => {
  const { monitor, published } = createMonitor(async () => false);
  for (const targetId of ['t1', 't2', 't3', 't4']) {
    const run = createRun('f', targetId);
    monitor.onDispatch(run);
    await monitor.onEnd(run, 'broken');
    await settle();
  }
  assert.is(monitor.check('f').kind, 'clear');
  assert.equal(published, []);
});

test('delays only the retry of a request that was on a lost target before', async () => {
  let release = (_hasEnded: boolean) => {};
  const { monitor } = createMonitor(
    () =>
      new Promise((resolve) => {
        release = resolve;
      }),
  );
  const first = createRun('f', 't1');
  monitor.onDispatch(first);
  await monitor.onEnd(first, 'broken');
  release(true);
  await settle();
  const second = createRun('f', 't2');
  monitor.onDispatch(second);
  let isOver = false;
  const ended = monitor.onEnd(second, 'broken').then(() => {
    isOver = true;
  });
  await settle();
  assert.not(isOver);
  release(true);
  await ended;
});

test('keeps a request quarantined when another one reaches as many losses', async () => {
  const { monitor } = createMonitor();
  const lose = async (targetId: string, fingerprints: readonly string[]) => {
    const runs = fingerprints.map((fingerprint) => createRun(fingerprint, targetId));
    runs.forEach(monitor.onDispatch);
    await monitor.onEnd(runs[0]!, 'broken');
    await settle();
  };
  await lose('t1', ['crashing', 'beside']);
  await lose('t2', ['crashing', 'beside']);
  await lose('t3', ['crashing']);
  assert.is(monitor.check('crashing').kind, 'quarantined');
  await lose('t4', ['beside']);
  assert.is(monitor.check('crashing').kind, 'quarantined');
  assert.is(monitor.check('beside').kind, 'suspect');
});

test('lifts a verdict everywhere when a run completes', async () => {
  const { monitor, published } = createMonitor();
  const run = createRun('f', 't1');
  monitor.onDispatch(run);
  monitor.applyUpdates([{ kind: 'quarantined', fingerprint: 'f', ageMs: 0 }]);
  assert.is(monitor.check('f').kind, 'quarantined');
  await monitor.onEnd(run, 'completed');
  assert.is(monitor.check('f').kind, 'clear');
  assert.equal(monitor.verdicts(), []);
  const other = createMonitor();
  other.monitor.applyUpdates([{ kind: 'quarantined', fingerprint: 'f', ageMs: 0 }]);
  other.monitor.applyUpdates(published);
  assert.is(other.monitor.check('f').kind, 'clear');
});

test('suspects the requests on a group of which a member ended', () => {
  const { monitor, published } = createMonitor();
  const run = createRun('f', 'head');
  monitor.onDispatch(run);
  const member = { targetId: 'member', startedAtMs: 2 };
  monitor.onMembersEnded(run.candidate, [member]);
  monitor.onMembersEnded(run.candidate, [member]);
  assert.is(monitor.check('f').kind, 'suspect');
  assert.is(published.length, 1);
});

test('does not suspect a request that has recently completed on this daemon', async () => {
  const { monitor, published } = createMonitor();
  const completed = createRun('frequent', 'sound');
  monitor.onDispatch(completed);
  await monitor.onEnd(completed, 'completed');
  for (const targetId of ['t1', 't2', 't3']) {
    const runs = [createRun('frequent', targetId), createRun('crashing', targetId)];
    runs.forEach(monitor.onDispatch);
    await Promise.all(runs.map((run) => monitor.onEnd(run, 'broken')));
    await settle();
  }
  assert.is(monitor.check('frequent').kind, 'clear');
  assert.is(monitor.check('crashing').kind, 'quarantined');
  assert.equal(
    published.flatMap((update) => (update.kind === 'loss' ? update.fingerprints : [])),
    ['crashing', 'crashing', 'crashing'],
  );
});

test('clears a request that another daemon suspects if it has recently completed on this one', async () => {
  const { monitor, published, clock } = createMonitor();
  const completed = createRun('frequent', 'sound');
  monitor.onDispatch(completed);
  await monitor.onEnd(completed, 'completed');
  const target = { targetId: 't1', generation: 1, failureDomain: 'a' };
  monitor.applyUpdates([{ kind: 'loss', target, fingerprints: ['frequent', 'f'], ageMs: 0 }]);
  assert.equal(published, [{ kind: 'cleared', fingerprint: 'frequent', targetKeys: ['t1@1'] }]);
  assert.is(monitor.check('frequent').kind, 'clear');
  assert.is(monitor.check('f').kind, 'suspect');
  clock.advance(10_000);
  monitor.applyUpdates([{ kind: 'loss', target, fingerprints: ['frequent'], ageMs: 0 }]);
  assert.is(published.length, 1);
});

test('forgets a verdict after its lifetime', () => {
  const { monitor, clock } = createMonitor();
  monitor.applyUpdates([{ kind: 'quarantined', fingerprint: 'f', ageMs: 0 }]);
  clock.advance(600_000);
  assert.is(monitor.check('f').kind, 'clear');
  assert.equal(monitor.verdicts(), []);
});

/** Other daemons have reported completions of a part this long after its first loss. */
const settlingMs = 1_000;

const lossOf = (
  targetId: string,
  requestParts: readonly routing.RequestParts[],
): routing.LossUpdate => {
  const target = { targetId, generation: 1, failureDomain: 'a' };
  const fingerprints = requestParts.map(({ fingerprint }) => fingerprint);
  return { kind: 'loss', target, fingerprints, requestParts, ageMs: 0 };
};

type TestMonitor = ReturnType<typeof createMonitor>['monitor'];

const completeRun = async (monitor: TestMonitor, run: MonitoredRun) => {
  monitor.onDispatch(run);
  await monitor.onEnd(run, 'completed');
};

/** Completes two requests that share no part with others. */
const completeOthers = async (monitor: TestMonitor) => {
  for (const name of ['other-1', 'other-2']) await completeRun(monitor, createRun(name, 'sound'));
};

const breakRuns = async (monitor: TestMonitor, runs: readonly MonitoredRun[]) => {
  runs.forEach(monitor.onDispatch);
  await Promise.all(runs.map((run) => monitor.onEnd(run, 'broken')));
  await settle();
};

test('quarantines a part of different requests, and neither the parts beside it nor other requests', async () => {
  const { monitor, published, clock } = createMonitor();
  for (const name of ['1', '2', '3']) {
    await breakRuns(monitor, [
      createRun(`crashing-${name}`, `t${name}`, ['system', 'bad']),
      createRun(`beside-${name}`, `t${name}`, ['system', 'document']),
    ]);
    await completeRun(monitor, createRun(`sound-${name}`, 'sound', ['system', 'document']));
    clock.advance(settlingMs / 2);
  }
  const status = monitor.check('another', ['system', 'bad']);
  assert.is(status.kind === 'quarantined' && status.subject, 'prompt-part');
  assert.is(monitor.check('another', ['system', 'document']).kind, 'clear');
  assert.equal(
    monitor.verdicts().map(({ fingerprint }) => fingerprint),
    ['part:bad'],
  );
  assert.ok(published.some((update) => update.kind === 'quarantined'));
});

test('quarantines a single request that is sent again and again without its parts', async () => {
  const { monitor, clock } = createMonitor();
  for (const targetId of ['t1', 't2', 't3', 't4', 't5', 't6']) {
    await breakRuns(monitor, [createRun('f', targetId, ['system', 'document'])]);
    clock.advance(settlingMs);
  }
  const status = monitor.check('f', ['system', 'document']);
  assert.is(status.kind === 'quarantined' && status.subject, 'request');
  assert.is.not(monitor.check('g', ['system', 'document']).kind, 'quarantined');
});

test('quarantines a part that requests completed with until it began to crash targets', async () => {
  const { monitor, clock } = createMonitor();
  await completeRun(monitor, createRun('earlier', 'sound', ['bad']));
  let crashCount = 0;
  while (monitor.check('another', ['bad']).kind !== 'quarantined') {
    crashCount += 1;
    await breakRuns(monitor, [createRun(`f${crashCount}`, `t${crashCount}`, ['bad'])]);
    await completeOthers(monitor);
    clock.advance(250);
  }
  // Four a second, with the fifth after one: at most three more seconds.
  assert.ok(crashCount <= 16, `quarantined after ${crashCount} crashes`);
});

test('does not suspect a widely shared part when several targets end at once', async () => {
  const { monitor, published, clock } = createMonitor();
  await completeRun(monitor, createRun('sound', 'sound', ['system']));
  clock.advance(settlingMs);
  for (const name of ['1', '2', '3', '4', '5']) {
    await breakRuns(monitor, [createRun(`f${name}`, `t${name}`, ['system'])]);
  }
  clock.advance(settlingMs);
  assert.is(monitor.check('another', ['system']).kind, 'clear');
  assert.not(published.some((update) => update.kind === 'loss' && update.requestParts));
});

test('does not clear a part by the rest of a stream', async () => {
  const { monitor, clock } = createMonitor();
  for (const name of ['1', '2', '3']) {
    await breakRuns(monitor, [createRun(`f${name}`, `t${name}`, ['bad'])]);
  }
  await completeRun(monitor, { ...createRun('f3', 'sound', ['bad']), isResumed: true });
  await completeOthers(monitor);
  clock.advance(settlingMs);
  assert.is(monitor.check('another', ['bad']).kind, 'quarantined');
});

test('waits for the check of a target when a part of the prompt is suspect', async () => {
  let release = (_hasEnded: boolean) => {};
  const { monitor } = createMonitor(
    () =>
      new Promise((resolve) => {
        release = resolve;
      }),
  );
  monitor.applyUpdates([lossOf('t1', [{ fingerprint: 'another', partIds: ['bad'] }])]);
  const run = createRun('f', 't2', ['bad']);
  monitor.onDispatch(run);
  let isOver = false;
  const ended = monitor.onEnd(run, 'broken').then(() => {
    isOver = true;
  });
  await settle();
  assert.not(isOver);
  release(true);
  await ended;
});

test('counts the losses that other daemons report with the parts of requests', async () => {
  const { monitor, clock } = createMonitor();
  ['1', '2', '3'].forEach((name) =>
    monitor.applyUpdates([lossOf(`t${name}`, [{ fingerprint: `f${name}`, partIds: ['bad'] }])]),
  );
  await completeOthers(monitor);
  clock.advance(settlingMs);
  assert.is(monitor.check('another', ['bad']).kind, 'quarantined');
});

test('clears parts that another daemon suspects in few messages', async () => {
  const { monitor, published, clock } = createMonitor();
  await completeRun(monitor, createRun('sound-0', 'sound', ['system']));
  for (let count = 1; count <= 20; count += 1) {
    const requestParts = [{ fingerprint: `f${count}`, partIds: ['system'] }];
    monitor.applyUpdates([lossOf(`t${count}`, requestParts)]);
    await completeRun(monitor, createRun(`sound-${count}`, 'sound', ['system']));
    clock.advance(50);
  }
  const messageCount = published.filter(({ kind }) => kind === 'cleared').length;
  assert.ok(messageCount >= 1 && messageCount <= 5, `${messageCount} messages in a second`);
  clock.advance(settlingMs);
  await completeRun(monitor, createRun('sound', 'sound', ['system']));
  assert.is(monitor.check('another', ['system']).kind, 'clear');
});

test('applies, lifts and forgets the verdicts of other daemons on parts', () => {
  const { monitor, clock } = createMonitor();
  const verdict = { kind: 'quarantined', fingerprint: 'part:bad', ageMs: 0 } as const;
  monitor.applyUpdates([verdict]);
  assert.is(monitor.check('f', ['bad']).kind, 'quarantined');
  monitor.applyUpdates([{ kind: 'cleared', fingerprint: 'part:bad', targetKeys: [] }]);
  assert.is(monitor.check('f', ['bad']).kind, 'clear');
  monitor.applyUpdates([verdict]);
  clock.advance(600_000);
  assert.is(monitor.check('f', ['bad']).kind, 'clear');
  assert.equal(monitor.verdicts(), []);
});

test.run();
