import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as settings from './index';

const valid = {
  instanceId: 'entry-1',
  region: 'navarra',
  failureDomain: 'pamplona-a',
  gateway: { listen: '127.0.0.1:8080' },
  admin: { listen: '127.0.0.1:8081' },
  peers: { listen: '127.0.0.1:8082' },
  platform: { url: 'http://127.0.0.1:9000' },
};

const test = uvu.suite<{ folder: string }>('settings');

test.before.each(async (context) => {
  context.folder = await mkdtemp(join(tmpdir(), 'settings-'));
});

test.after.each((context) => rm(context.folder, { recursive: true }));

const load = async (folder: string, text: string, environment = {}, fileVariable?: string) => {
  const file = join(folder, 'settings.json');
  await writeFile(file, text);
  return settings.loadSettings(file, environment, fileVariable);
};

test('fills in defaults', async ({ folder }) => {
  const result = await load(folder, JSON.stringify(valid));
  assert.ok(result.ok);
  assert.is(result.ok && result.value.peers.probeIntervalMs, 1_000);
});

test('does not treat the variable that names the file as an override', async ({ folder }) => {
  const environment = {
    COMFREYDRUM_FILE: '/etc/comfreydrum/local.json',
    COMFREYDRUM_log__level: 'debug',
  };
  const result = await load(folder, JSON.stringify(valid), environment, 'COMFREYDRUM_FILE');
  assert.is(result.ok && result.value.log.level, 'debug');
});

test('names the file and the path of invalid relay settings', async ({ folder }) => {
  const file = join(folder, 'relay.json');
  await writeFile(file, JSON.stringify({ instanceId: 'edge-1', store: { address: 'here' } }));
  const result = await settings.loadRelaySettings(file);
  assert.not(result.ok);
  if (result.ok) return;
  assert.match(result.error.message, `${file} .store.address: expected IP:port`);
  assert.match(result.error.message, `${file} .failureDomain`);
});

test('names the file, the path and the expected value', async ({ folder }) => {
  const text = JSON.stringify({ ...valid, peers: { listen: 'entry-1', colour: 'red' } });
  const result = await load(folder, text);
  assert.not.ok(result.ok);
  const message = result.ok ? '' : result.error.message;
  assert.match(message, /settings\.json \.peers\.listen: expected IP:port/);
  assert.match(message, /settings\.json \.peers: Unrecognized key: "colour"/);
});

test('fills in the fleet name and the ledger defaults', async ({ folder }) => {
  const result = await load(folder, JSON.stringify({ ...valid, ledger: { partitionCount: 16 } }));
  assert.is(result.ok && result.value.fleet, 'default');
  assert.is(result.ok && result.value.ledger.partitionCount, 16);
  assert.is(result.ok && result.value.ledger.batchWindowMs, 100);
});

const invalidChanges: readonly (readonly [object, string])[] = [
  [{ fleet: 'navarra norte' }, '.fleet: expected 1 to 64 letters, digits, dots, hyphens'],
  [{ peers: { listen: '127.0.0.1:1', tokenFiles: ['', 'b', 'c'] } }, '.peers.tokenFiles: Too big'],
  [{ ledger: { partitionCount: 0 } }, '.ledger.partitionCount: Too small: expected number to be'],
  [{ ledger: { colour: 'red' } }, '.ledger: Unrecognized key: "colour"'],
  [{ ledger: { askTimeoutMs: 2_500 } }, '.ledger.askTimeoutMs: expected less than claimTimeoutMs'],
  [{ ledger: { forwardTimeoutMs: 9_000 } }, '.ledger.forwardTimeoutMs: expected less than claim'],
  [{ ledger: { batchLimit: 5_000 } }, '.ledger.batchLimit: expected at most queueLimit, 4096'],
  [{ ledger: { outageRetryMs: 60_000 } }, '.ledger.outageRetryMs: expected at most outageRetryL'],
  [{ ledger: { sealAtBytes: 600_000 } }, '.ledger.sealAtBytes: expected at most maxHeadBytes, 524'],
  [{ ledger: { maxAnswerBytes: 900_000 } }, '.ledger.maxAnswerBytes: Too big: expected number'],
  [{ ledger: { maxHeadBytes: 990_000 } }, '.ledger.maxHeadBytes: expected at most segmentBytes'],
];

invalidChanges.forEach(([change, message]) =>
  test(`rejects ${JSON.stringify(change)}`, async ({ folder }) => {
    const result = await load(folder, JSON.stringify({ ...valid, ...change }));
    assert.match(result.ok ? '' : result.error.message, `settings.json ${message}`);
  }),
);

test('names each invalid token file', async ({ folder }) => {
  const validFile = join(folder, 'good');
  const shortFile = join(folder, 'short');
  const missingFile = join(folder, 'absent');
  await writeFile(validFile, `${'a'.repeat(32)}\n`);
  await writeFile(shortFile, 'secret\n');
  const loadWith = (tokenFiles: readonly string[]) =>
    load(folder, JSON.stringify({ ...valid, peers: { ...valid.peers, tokenFiles } }));
  assert.ok((await loadWith([validFile])).ok);
  const tokens = settings.readTokens([validFile]);
  assert.equal(tokens.ok && tokens.value, ['a'.repeat(32)]);
  const rejected = await loadWith([shortFile, missingFile]);
  const message = rejected.ok ? '' : rejected.error.message;
  assert.match(message, `.peers.tokenFiles[0]: ${shortFile}: expected one line of at least 32`);
  assert.match(message, `.peers.tokenFiles[1]: ${missingFile}: ENOENT`);
  const duplicated = await loadWith([validFile, validFile]);
  assert.match(
    duplicated.ok ? '' : duplicated.error.message,
    `tokenFiles[1]: ${validFile}: expected another`,
  );
});

test('reports a file that is not JSON', async ({ folder }) => {
  const result = await load(folder, '{');
  assert.match(result.ok ? '' : result.error.message, /settings\.json: not JSON/);
});

test('overrides the file with environment variables', async ({ folder }) => {
  const environment = { COMFREYDRUM_LOG__LEVEL: 'debug', COMFREYDRUM_instanceId: 'entry-9' };
  const text = JSON.stringify({ ...valid, log: { level: 'info' } });
  const result = await load(folder, text, environment);
  assert.is(result.ok && result.value.instanceId, 'entry-9');
  assert.is(result.ok && result.value.log.level, 'debug');
});

test.run();
