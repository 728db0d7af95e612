import { readFile } from 'node:fs/promises';
import process from 'node:process';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';

const test = uvu.suite('SIGHUP during startup');

test('handles SIGHUP before any other module is loaded', async () => {
  const source = await readFile(new URL('./main.ts', import.meta.url), 'utf8');
  const firstImport = source.split('\n').find((line) => line.startsWith('import'));
  assert.is(firstImport, "import './ignoreHangup';");
  const countBefore = process.listenerCount('SIGHUP');
  await import('./ignoreHangup');
  assert.is(process.listenerCount('SIGHUP'), countBefore + 1);
});

test.run();
