import * as clock from '@comfreydrum/clock';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createProbeSchedule } from './createProbeSchedule';

const test = uvu.suite('probe schedule');
const intervalMs = 600;
const tickMs = 100;

const create = (isFirst: boolean) => {
  const manual = clock.createManualClock(50_000);
  let needsHelp = false;
  let version = 1;
  const rounds = createProbeSchedule({
    clock: manual,
    watched: () => ['fabric-1'],
    isPrimary: () => isFirst,
    needsSecondary: () => needsHelp,
    versionOf: () => version,
    intervalMs,
    tickMs,
  });
  const countRounds = (durationMs: number) => {
    let count = 0;
    for (let passedMs = 0; passedMs < durationMs; passedMs += tickMs) {
      count += rounds.next().due.length;
      manual.advance(tickMs);
    }
    return count;
  };
  return {
    rounds,
    countRounds,
    changeRecord: () => {
      version += 1;
    },
    setNeedsHelp: (needs: boolean) => {
      needsHelp = needs;
    },
  };
};

test('schedules the primary watcher at each interval', () => {
  const { countRounds } = create(true);
  assert.is(countRounds(6_000), 10);
});

test('does not schedule the secondary watcher while evidence from others suffices', () => {
  const { countRounds, rounds } = create(false);
  assert.is(countRounds(60_000), 0);
  assert.equal(rounds.next().active, []);
});

test('schedules the secondary watcher as soon as it is needed and for a while afterwards', () => {
  const { countRounds, rounds, setNeedsHelp } = create(false);
  countRounds(1_000);
  setNeedsHelp(true);
  assert.equal(rounds.next().due, ['fabric-1']);
  setNeedsHelp(false);
  assert.equal(rounds.next().active, ['fabric-1']);
  assert.ok(countRounds(10_000) >= 8);
  assert.equal(rounds.next().active, []);
});

test('probes soon after a change of the record', () => {
  const { countRounds, changeRecord } = create(true);
  countRounds(300);
  changeRecord();
  assert.is(countRounds(100), 1);
  changeRecord();
  assert.is(countRounds(100), 0);
  assert.is(countRounds(200), 1);
});

test.run();
