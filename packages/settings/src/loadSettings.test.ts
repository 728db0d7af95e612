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

test('takes the variable that names the file for no override', async ({ folder }) => {
  const environment = {
    COMFREYDRUM_FILE: '/etc/comfreydrum/local.json',
    COMFREYDRUM_log__level: 'debug',
  };
  const result = await load(folder, JSON.stringify(valid), environment, 'COMFREYDRUM_FILE');
  assert.is(result.ok && result.value.log.level, 'debug');
});

test('names what is wrong with the settings of a relay', async ({ folder }) => {
  const file = join(folder, 'relay.json');
  await writeFile(file, JSON.stringify({ instanceId: 'edge-1', store: { address: 'here' } }));
  const result = await settings.loadRelaySettings(file);
  assert.not(result.ok);
  if (result.ok) return;
  assert.match(result.error.message, `${file} .store.address: expected IP:port`);
  assert.match(result.error.message, `${file} .failureDomain`);
});

test('names the file, the path and what was expected', async ({ folder }) => {
  const text = JSON.stringify({ ...valid, peers: { listen: 'entry-1', colour: 'red' } });
  const result = await load(folder, text);
  assert.not.ok(result.ok);
  const message = result.ok ? '' : result.error.message;
  assert.match(message, /settings\.json \.peers\.listen: expected IP:port/);
  assert.match(message, /settings\.json \.peers: Unrecognized key: "colour"/);
});

test('gives the fleet a name and the ledger its defaults', async ({ folder }) => {
  const result = await load(folder, JSON.stringify({ ...valid, ledger: { partitionCount: 16 } }));
  assert.is(result.ok && result.value.fleet, 'default');
  assert.is(result.ok && result.value.ledger.partitionCount, 16);
  assert.is(result.ok && result.value.ledger.batchWindowMs, 100);
});

const faults: readonly (readonly [object, string])[] = [
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

faults.forEach(([change, message]) =>
  test(`refuses ${JSON.stringify(change)}`, async ({ folder }) => {
    const result = await load(folder, JSON.stringify({ ...valid, ...change }));
    assert.match(result.ok ? '' : result.error.message, `settings.json ${message}`);
  }),
);

test('names each token file that holds no token', async ({ folder }) => {
  const good = join(folder, 'good');
  const short = join(folder, 'short');
  const absent = join(folder, 'absent');
  await writeFile(good, `${'a'.repeat(32)}\n`);
  await writeFile(short, 'secret\n');
  const loadWith = (tokenFiles: readonly string[]) =>
    load(folder, JSON.stringify({ ...valid, peers: { ...valid.peers, tokenFiles } }));
  assert.ok((await loadWith([good])).ok);
  const read = settings.readTokens([good]);
  assert.equal(read.ok && read.value, ['a'.repeat(32)]);
  const refused = await loadWith([short, absent]);
  const message = refused.ok ? '' : refused.error.message;
  assert.match(message, `.peers.tokenFiles[0]: ${short}: expected one line of at least 32`);
  assert.match(message, `.peers.tokenFiles[1]: ${absent}: ENOENT`);
  const twice = await loadWith([good, good]);
  assert.match(twice.ok ? '' : twice.error.message, `tokenFiles[1]: ${good}: expected another`);
});

test('reports a file that is not JSON', async ({ folder }) => {
  const result = await load(folder, '{');
  assert.match(result.ok ? '' : result.error.message, /settings\.json: not JSON/);
});

test('lays the environment over the file', async ({ folder }) => {
  const environment = { COMFREYDRUM_LOG__LEVEL: 'debug', COMFREYDRUM_instanceId: 'entry-9' };
  const text = JSON.stringify({ ...valid, log: { level: 'info' } });
  const result = await load(folder, text, environment);
  assert.is(result.ok && result.value.instanceId, 'entry-9');
  assert.is(result.ok && result.value.log.level, 'debug');
});

test.run();
