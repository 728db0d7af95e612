import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as testing from '@comfreydrum/testing';
import type * as groups from '../missing-member/storedGroups';
import type * as loads from '../support/createLoad';
import * as checks from './checkStreams';
import type * as faults from './injectFault';

const test = uvu.suite('checkStreams');
const injectedAtMs = 10_000;

const groupOf = (groupId: string, modelVersion: string): groups.StoredGroup => ({
  groupId,
  generation: 1,
  phase: 'serving',
  modelVersion,
  memberIds: [],
});

const killed = groupOf('killed', '2');
const injectedFault: faults.InjectedFault = { atMs: injectedAtMs, group: killed };
const served = [
  {
    requestId: 'request-1',
    groupId: 'killed',
    modelVersion: '2',
    startedAtMs: injectedAtMs - 500,
  } as testing.ServedRequest,
];

/** A stream that ran on the killed group and ended with an error event 50 ms after the kill. */
const failedStream = {
  daemonId: 'entry-1',
  prompt: 'plan',
  maxTokens: 8,
  startedAtMs: injectedAtMs - 500,
  outcome: {
    end: 'error-event',
    requestId: 'request-1',
    text: '',
    tokenCount: 0,
    tokenIndexes: [] as readonly number[],
    error: 'gone',
    durationMs: 550,
  },
} as loads.LoadResult;

const samplerOf = (others: readonly groups.StoredGroup[], lastServedAtMs: number) => ({
  lastServedAtMs: () => lastServedAtMs,
  servingBetween: () => [killed, ...others],
});

test('accepts a failed stream when no other group serves its version', () => {
  const later = injectedAtMs + 5_000;
  assert.equal(checks.checkStream(failedStream, injectedFault, served, samplerOf([], later)), []);
});

test('reports a failed stream that could have resumed on another group of its version', () => {
  const later = injectedAtMs + 5_000;
  const faults = checks.checkStream(
    failedStream,
    injectedFault,
    served,
    samplerOf([groupOf('other', '2')], later),
  );
  assert.is(faults.length, 1);
  assert.match(faults[0]!, 'others of its version that served meanwhile: other@1 v2');
});

test('accepts a failed stream whose version was retired while it waited', () => {
  const sampler = samplerOf([groupOf('other', '2')], injectedAtMs + 40);
  assert.equal(checks.checkStream(failedStream, injectedFault, served, sampler), []);
});

test('reports a failed stream that never ran on the killed group', () => {
  assert.is(
    checks.checkStream(failedStream, injectedFault, [], samplerOf([], injectedAtMs + 5_000)).length,
    1,
  );
});

test.run();
