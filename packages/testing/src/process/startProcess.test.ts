import * as undici from 'undici';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as testing from '../index';

const test = uvu.suite('start process');

const startService = () =>
  testing.startProcess({ name: 'case-desk', command: ['apps/standins/dist/main.js', 'service'] });

test('collects the lines of a process, pauses, resumes and terminates it', async () => {
  const service = startService();
  const line = await service.waitForLine(
    ({ fields }) => fields.event === 'listening',
    5_000,
    'its address',
  );
  const url = String(line.fields.url);
  const request = () => undici.request(`${url}/cases/1`, { headersTimeout: 300 });
  assert.is((await request()).statusCode, 200);
  service.pause();
  await request().then(
    () => assert.unreachable('a paused process answered'),
    () => {},
  );
  service.resume();
  assert.is((await request()).statusCode, 200);
  service.terminate();
  assert.equal(await service.exited, { code: 0, signal: null });
});

test('names the expected line and the last output when a process exits early', async () => {
  const failing = testing.startProcess({
    name: 'broken',
    command: ['apps/standins/dist/main.js', 'engine', '--colour', 'red'],
  });
  const message = await failing
    .waitForLine(() => false, 5_000, 'its address')
    .then(
      () => '',
      (cause: Error) => cause.message,
    );
  assert.match(
    message,
    "broken exited before printing its address; last lines:\nerror: unknown option '--colour'",
  );
});

test.run();
