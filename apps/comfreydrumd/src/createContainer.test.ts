import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import * as settings from '@comfreydrum/settings';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createContainer } from './createContainer';
import { createStatusReader } from './createStatusReader';
import { tokens } from './tokens';

const waitMs = 10_000;
const outageThreshold = 3;
/** Returns a loopback address derived from the process id, so that no other test process uses it. */
const createLoopbackAddress = (block: number) =>
  `127.${block}.${Math.floor(process.pid / 256) % 256}.${process.pid % 256}`;
const hosts = [createLoopbackAddress(95), createLoopbackAddress(96)] as const;

const createSettings = (host: string, changes: object) =>
  settings.settingsSchema.parse({
    instanceId: host,
    region: 'navarra',
    failureDomain: 'pamplona-a',
    gateway: { listen: `${host}:8080` },
    admin: { listen: `${host}:8081` },
    peers: { listen: `${host}:8082`, seeds: hosts.map((seed) => `${seed}:8082`) },
    platform: { url: `http://${host}:9000` },
    log: { level: 'error' },
    randomSeed: 1,
    ...changes,
  });

const test = uvu.suite('createContainer');

test('passes the ledger settings to the ledger', async () => {
  const platform = testing.createPlatformStandin();
  const { url } = await platform.start();
  const daemonSettings = createSettings(hosts[0], {
    platform: { url },
    ledger: { partitionCount: 3 },
  });
  const container = await createContainer(daemonSettings);
  try {
    await container.resolve(tokens.ledger).admin.listUnknown();
    const layout = await container
      .resolve(tokens.platform)
      .get({ kind: 'ledger-layout', name: 'layout' });
    assert.equal(layout.ok && layout.value.value, { partitionCount: 3 });
  } finally {
    await platform.stop();
  }
});

test('does not join daemons of a fleet with another name', async () => {
  const fleets = ['north', 'south'] as const;
  const containers = await Promise.all(
    hosts.map((host, index) => createContainer(createSettings(host, { fleet: fleets[index] }))),
  );
  const peers = containers.map((container) => container.resolve(tokens.peers));
  try {
    await Promise.all(peers.map(({ component }) => component.start?.()));
    const hasDropped = () => peers.every(({ statistics }) => statistics().droppedOtherFleet > 0);
    await testing.waitUntil(hasDropped, waitMs, 'each daemon to drop messages of the other');
    peers.forEach(({ membership }) => assert.is(membership.members().length, 1));
  } finally {
    await Promise.all(peers.map(({ component }) => component.stop?.()));
  }
});

test('does not join daemons with different token files', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'tokens-'));
  const create = async (host: string, index: number) => {
    const file = join(folder, `token-${index}`);
    await writeFile(file, `token of the daemon at ${host}, long enough\n`);
    const peers = { listen: `${host}:8082`, seeds: hosts.map((seed) => `${seed}:8082`) };
    return createContainer(createSettings(host, { peers: { ...peers, tokenFiles: [file] } }));
  };
  const containers = await Promise.all(hosts.map(create));
  const peers = containers.map((container) => container.resolve(tokens.peers));
  try {
    await Promise.all(peers.map(({ component }) => component.start?.()));
    const hasDropped = () => peers.every((one) => one.statistics().droppedUnauthenticated > 0);
    await testing.waitUntil(hasDropped, waitMs, 'each daemon to drop messages of the other');
    peers.forEach(({ membership }) => assert.is(membership.members().length, 1));
  } finally {
    await Promise.all(peers.map(({ component }) => component.stop?.()));
    await rm(folder, { recursive: true });
  }
});

test('reports peers, a platform outage and ledger metrics', async () => {
  const container = await createContainer(createSettings(hosts[0], {}));
  const readStatus = createStatusReader(container);
  assert.is(readStatus().platformOutageMs, null);
  const platform = container.resolve(tokens.platform);
  for (let tries = 0; tries < outageThreshold; tries += 1) await platform.list('absent');
  const status = readStatus();
  assert.ok(status.platformOutageMs !== null && status.platformOutageMs >= 0);
  assert.is(status.platform.outage.kind, 'outage');
  assert.is(status.peerStatistics.memberCount, 1);
  assert.is(status.peerStatistics.datagramsSent, 0);
  const metrics = await container.resolve(tokens.metrics).render();
  assert.match(metrics, 'comfreydrum_ledger_claims_total{decision="granted"} 0');
});

test.run();
