import * as clock from '@comfreydrum/clock';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createOrderWindow } from './createOrderWindow';

const test = uvu.suite('order window');
const windowMs = 2_000;
const messageLifeMs = 1_000;

const create = (system: clock.Clock, writer: string) =>
  createOrderWindow({ clock: system, writer, windowMs, messageLifeMs });

test('a window expires while its writer is paused, even if no other daemon wrote', () => {
  const manual = clock.createManualClock();
  const orderWindow = create(manual, 'a');
  orderWindow.recordWrite('fabric', '', manual.monotonicMs());
  assert.ok(orderWindow.isOpen('fabric', 'a'));
  manual.advance(windowMs);
  assert.not.ok(orderWindow.isOpen('fabric', 'a'));
  assert.ok(orderWindow.mayRenew('fabric', 'a'));
});

test('a window starts before the write is sent', () => {
  const manual = clock.createManualClock();
  const orderWindow = create(manual, 'a');
  const startedAtMs = manual.monotonicMs();
  manual.advance(windowMs + 1);
  orderWindow.recordWrite('fabric', '', startedAtMs);
  assert.not.ok(orderWindow.isOpen('fabric', 'a'));
});

test('the window of the next writer opens only after messages of the previous one have expired', () => {
  const manual = clock.createManualClock();
  const former = create(manual, 'a');
  const next = create(manual, 'b');
  former.recordWrite('fabric', '', manual.monotonicMs());
  manual.advance(1);
  next.recordWrite('fabric', 'a', manual.monotonicMs());
  let lastHeldByFormerMs = 0;
  let firstHeldByNextMs = Infinity;
  for (let step = 0; step < 6_000; step += 10) {
    const nowMs = manual.monotonicMs();
    if (former.isOpen('fabric', 'a')) lastHeldByFormerMs = nowMs;
    if (next.isOpen('fabric', 'b')) firstHeldByNextMs = Math.min(firstHeldByNextMs, nowMs);
    else if (next.mayRenew('fabric', 'b')) next.recordWrite('fabric', 'b', nowMs);
    manual.advance(10);
  }
  assert.ok(Number.isFinite(firstHeldByNextMs));
  assert.ok(firstHeldByNextMs - lastHeldByFormerMs >= messageLifeMs);
});

test('a write with an unknown outcome restarts the wait', () => {
  const manual = clock.createManualClock();
  const orderWindow = create(manual, 'a');
  orderWindow.recordWrite('fabric', '', manual.monotonicMs());
  orderWindow.discard('fabric');
  orderWindow.recordWrite('fabric', 'a', manual.monotonicMs());
  assert.not.ok(orderWindow.isOpen('fabric', 'a'));
  assert.not.ok(orderWindow.mayRenew('fabric', 'a'));
});

test.run();
