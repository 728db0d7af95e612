import type * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { findMixedVersions } from './findMixedVersions';

const test = uvu.suite('find mixed versions');

const run = (startedAtMs: number, modelVersion: string, resumedFromToken: number) =>
  ({ requestId: 'r', startedAtMs, modelVersion, resumedFromToken }) as testing.ServedRequest;

test('finds a stream that is resumed on another version', () => {
  const found = findMixedVersions([run(2, '2', 7), run(1, '1', 0)]);
  assert.equal(found, ['request r mixes versions 1,2']);
});

test('ignores a run that delivered no token', () => {
  assert.equal(findMixedVersions([run(1, '1', 0), run(2, '2', 0)]), []);
  assert.equal(findMixedVersions([run(1, '1', 0), run(2, '2', 5), run(3, '1', 5)]), []);
});

test.run();
