/** Measures the traffic of group monitoring in a small fleet and extrapolates it to the design size. */
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
const measuredFleet = { engineCount: 48, daemonCount: 12, groupCount: 8, instancesPerGroup: 6 };
const measuredDomainCount = 4;
/** Fleet size to design for. */
const designFleet = {
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

/** Probes one instance over one connection and returns the mean bytes of a probe and its response. */
const measureProbeBytes = async (): Promise<number> => {
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

/** Returns the encoded size of a message as peers send it in a row of their datagrams. */
const encodedRowBytes = ({ key, origin, sequence, value, remainingMs }: peers.BusMessage): number =>
  cbor.encode([0, key, origin, sequence, value, remainingMs]).length;

const readCounts = (fleet: TestFleet) => ({
  probes: fleet.engines.reduce((sum, engine) => sum + engine.presenceCount(), 0),
  rows: fleet.published().filter(({ key }) => !key.startsWith(listKeyPrefix)).length,
  rowBytes: fleet.published().reduce((sum, item) => sum + encodedRowBytes(item), 0),
  listRowBytes: fleet
    .published()
    .filter(({ key }) => key.startsWith(listKeyPrefix))
    .reduce((sum, item) => sum + encodedRowBytes(item), 0),
  listReads: fleet.platform.listReadCount(),
});

/** Measures what a fleet with all groups serving sends per second; each published message counts once. */
const measureRun = async () => {
  const system = clock.createSystemClock();
  const fleet = await createTestFleet({ ...measuredFleet, fabricDomainCount: measuredDomainCount });
  await waitFor('every daemon serves every group', () =>
    fleet.daemons.every(
      ({ groups }) =>
        groups.directory.serving('navarra', 'drafting').length === measuredFleet.groupCount,
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
    probesPerInstance: (after.probes - before.probes) / seconds / measuredFleet.engineCount,
    rowsPerDomain: (after.rows - before.rows) / seconds / measuredDomainCount,
    rowBytesPerDomain: (allRowBytes - listRowBytes) / measuredDomainCount,
    listRowBytesOfAll: listRowBytes,
    listReadsOfAll: (after.listReads - before.listReads) / seconds,
  };
};

/** Returns the measured counts and their extrapolation to one daemon of a fleet of the design size. */
export const bench = async () => {
  const probeBytes = await measureProbeBytes();
  const measured = await measureRun();
  const rows =
    designFleet.fabricDomainCount * measured.rowBytesPerDomain + measured.listRowBytesOfAll;
  const listBytes = designFleet.workerCount * designFleet.listedEntryBytes;
  const probes = designFleet.workerCount * measured.probesPerInstance * probeBytes;
  return {
    run: { ...measuredFleet, fabricDomainCount: measuredDomainCount, runMs },
    probeBytes,
    countedPerSecond: measured,
    workedOutPerSecondAndDaemon: {
      probeBytes: Math.round(probes / designFleet.daemonCount),
      /** Each row is received once; `wordBytesSent` is the least that gossip forwards. */
      wordBytes: Math.round(rows),
      wordBytesSent: Math.round(rows * eagerPushCount),
      /** Mean over all daemons; the number that reads the list is small and the same at any fleet size. */
      listBytesMean: Math.round((measured.listReadsOfAll * listBytes) / designFleet.daemonCount),
      listBytesOfAReader: Math.round(measured.listReadsOfAll * listBytes),
      budgetBytesPerSecond,
    },
  };
};
