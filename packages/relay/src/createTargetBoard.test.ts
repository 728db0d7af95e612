import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createTargetBoard } from './createTargetBoard';

const test = uvu.suite('target tracker');

test('reports silence since the last progress, only while requests are in progress', () => {
  const board = createTargetBoard();
  assert.is(board.read('t', 0).silentSinceMs, undefined);
  board.onSend('t', 100);
  board.onSend('t', 150);
  assert.is(board.read('t', 200).silentSinceMs, 100);
  board.onProgress('t', 180);
  assert.is(board.read('t', 200).silentSinceMs, 180);
  board.onEnd('t');
  board.onEnd('t');
  assert.is(board.read('t', 200).silentSinceMs, undefined);
  board.onSend('t', 900);
  assert.is(board.read('t', 950).silentSinceMs, 900, 'progress of earlier requests does not count');
});

test('decays the failure rate over time', () => {
  const board = createTargetBoard();
  board.onFailure('t', 0);
  const first = board.read('t', 0).failureShare;
  assert.ok(first > 0);
  assert.ok(board.read('t', 1_500).failureShare < first * 0.6);
});

test('keeps targets that have requests in progress even if they are no longer listed', () => {
  const board = createTargetBoard();
  board.onSend('busy', 0);
  board.avoid('idle', 9_000);
  board.retain(new Set());
  assert.equal(board.loads(), { busy: 1 });
  assert.is(board.read('idle', 0).avoidUntilMs, -Infinity);
});

test.run();
