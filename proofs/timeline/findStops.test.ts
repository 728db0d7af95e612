import type * as telemetry from '@comfreydrum/telemetry';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { findStops } from './findStops';

const test = uvu.suite('find stops');

const event = (
  wallMs: number,
  instanceId: string,
  step: string,
  peer?: string,
): telemetry.TimelineEvent => ({
  instanceId,
  time: { wallMs, counter: 0 },
  step,
  groupId: 'g',
  generation: 1,
  ...(peer === undefined ? {} : { peer }),
});

const history = [
  event(1, 'a', 'order load', 'engine-1'),
  event(2, 'a', 'dispatch'),
  event(3, 'b', 'dispatch'),
  event(4, 'a', 'group broken'),
  event(5, 'b', 'dispatch'),
  event(6, 'b', 'group broken'),
];

test('returns members, daemons and dispatches of a group that was marked broken', () => {
  const [stop] = findStops(history);
  assert.equal(stop!.members, ['engine-1']);
  assert.equal(stop!.stoppedOn, ['a', 'b']);
  assert.is(stop!.dispatchedBefore, 3);
  assert.equal(stop!.dispatchedAfter, []);
});

test('finds a dispatch by a daemon that had already marked the group broken', () => {
  const [stop] = findStops([...history, event(7, 'a', 'dispatch')]);
  assert.is(stop!.dispatchedAfter.length, 1);
});

test.run();
