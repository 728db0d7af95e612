import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { loadedVersionKey } from './FabricDomainRecord';

const test = uvu.suite('loaded version');

const versionOf = (modelVersion: string, ...adapters: readonly string[]) =>
  loadedVersionKey({ modelVersion, adapters });

test('changes with the version and with the set of adapters', () => {
  const versions = [versionOf('1'), versionOf('2'), versionOf('1', 'a'), versionOf('1', 'a', 'b')];
  assert.is(new Set(versions).size, versions.length);
});

test('stays the same when adapters are listed in another order or twice', () => {
  assert.is(versionOf('1', 'a', 'b'), versionOf('1', 'b', 'a'));
  assert.is(versionOf('1', 'a'), versionOf('1', 'a', 'a'));
});

test('distinguishes an adapter from a part of the version', () => {
  assert.is.not(versionOf('1+a'), versionOf('1', 'a'));
  assert.is.not(versionOf('1', 'a+b'), versionOf('1', 'a', 'b'));
});

test.run();
