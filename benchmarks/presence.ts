/** Counts the traffic of watched groups in a run, and carries it to the size to design for. */
import * as http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import * as clock from '@comfreydrum/clock';
import type * as peers from '@comfreydrum/peers';
import * as cbor from 'cbor-x';
import { listKeyPrefix } from '../packages/groups/src/listMessages';
import { createProber } from '../packages/groups/src/createProber';
import {
  createTestFleet,
  waitFor,
  type TestFleet,
} from '../packages/groups/src/testing/createTestFleet';

const probeCount = 200;
const probeTimeoutMs = 2_000;
const runMs = 20_000;
const settleMs = 5_000;
const run = { engineCount: 48, daemonCount: 12, groupCount: 8, instancesPerGroup: 6 };
const runDomainCount = 4;
/** The size to design for. */
const design = {
  daemonCount: 340,
  workerCount: 2_000,
  fabricDomainCount: 60,
  listedEntryBytes: 191,
};
const budgetBytesPerSecond = 2_000;
const eagerPushCount = 3;

const presence = {
  instanceId: 'engine-0001',
  bootId: '7b1c5d0e-6f0a-4f63-9f0e-3b1f5a0c2d11',
  groupId: 'fabric-01.12.0',
  generation: 14,
  phase: 'ready',
  model: 'drafting',
  version: '1',
  rank: 0,
};

/** Probes one instance over one connection and gives the bytes of a probe with its answer. */
const measureProbe = async (): Promise<number> => {
  const sockets = new Set<Socket>();
  const server = http.createServer((_request, response) => {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify(presence));
  });
  server.on('connection', (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const prober = createProber({ clock: clock.createSystemClock(), timeoutMs: probeTimeoutMs });
  const target = { instanceId: presence.instanceId, url: `http://127.0.0.1:${port}` };
  for (let probe = 0; probe < probeCount; probe += 1) {
    await new Promise<void>((resolve) => {
      prober.onObservation(() => resolve());
      prober.probe([target]);
    });
  }
  const bytes = [...sockets].reduce(
    (sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten,
    0,
  );
  await prober.close();
  server.closeAllConnections();
  server.close();
  return bytes / probeCount;
};

/** The bytes of an item as peers send it in a row of their datagrams. */
const rowBytes = ({ key, origin, sequence, value, remainingMs }: peers.BusMessage): number =>
  cbor.encode([0, key, origin, sequence, value, remainingMs]).length;

const readCounts = (fleet: TestFleet) => ({
  probes: fleet.engines.reduce((sum, engine) => sum + engine.presenceCount(), 0),
  rows: fleet.published().filter(({ key }) => !key.startsWith(listKeyPrefix)).length,
  rowBytes: fleet.published().reduce((sum, item) => sum + rowBytes(item), 0),
  listRowBytes: fleet
    .published()
    .filter(({ key }) => key.startsWith(listKeyPrefix))
    .reduce((sum, item) => sum + rowBytes(item), 0),
  listReads: fleet.platform.listReadCount(),
});

/** Counts what a fleet with all its groups whole sends in a second, each daemon's news once. */
const countRun = async () => {
  const system = clock.createSystemClock();
  const fleet = await createTestFleet({ ...run, fabricDomainCount: runDomainCount });
  await waitFor('every daemon serves every group', () =>
    fleet.daemons.every(
      ({ groups }) => groups.directory.serving('navarra', 'drafting').length === run.groupCount,
    ),
  );
  await delay(settleMs);
  const before = readCounts(fleet);
  const startedAtMs = system.monotonicMs();
  await delay(runMs);
  const after = readCounts(fleet);
  const seconds = (system.monotonicMs() - startedAtMs) / 1_000;
  await fleet.stop();
  const listRowBytes = (after.listRowBytes - before.listRowBytes) / seconds;
  const allRowBytes = (after.rowBytes - before.rowBytes) / seconds;
  return {
    probesPerInstance: (after.probes - before.probes) / seconds / run.engineCount,
    rowsPerDomain: (after.rows - before.rows) / seconds / runDomainCount,
    rowBytesPerDomain: (allRowBytes - listRowBytes) / runDomainCount,
    listRowBytesOfAll: listRowBytes,
    listReadsOfAll: (after.listReads - before.listReads) / seconds,
  };
};

/** Gives what a run counted, and what it makes at the size to design for, for one daemon. */
export const bench = async () => {
  const probeBytes = await measureProbe();
  const counted = await countRun();
  const rows = design.fabricDomainCount * counted.rowBytesPerDomain + counted.listRowBytesOfAll;
  const listBytes = design.workerCount * design.listedEntryBytes;
  const probes = design.workerCount * counted.probesPerInstance * probeBytes;
  return {
    run: { ...run, fabricDomainCount: runDomainCount, runMs },
    probeBytes,
    countedPerSecond: counted,
    workedOutPerSecondAndDaemon: {
      probeBytes: Math.round(probes / design.daemonCount),
      /** Each row received once, and as gossip sends it on at least. */
      wordBytes: Math.round(rows),
      wordBytesSent: Math.round(rows * eagerPushCount),
      /** Few daemons read the list, as many at any size; the mean over all daemons. */
      listBytesMean: Math.round((counted.listReadsOfAll * listBytes) / design.daemonCount),
      listBytesOfAReader: Math.round(counted.listReadsOfAll * listBytes),
      budgetBytesPerSecond,
    },
  };
};
