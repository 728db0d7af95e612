import type * as admin from '@comfreydrum/admin';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { formatStatus } from './formatStatus';

const platform: admin.DaemonStatus['platform'] = {
  readCount: 900,
  writeCount: 80,
  watchCount: 12,
  coalescedCount: 5,
  turnedAwayCount: 7,
  failureCount: 3,
  waitingCount: 2,
  readsPerSecond: 12.34,
  writesPerSecond: 1.5,
  readBudgetPerSecond: 1_000,
  writeBudgetPerSecond: 150,
  outage: { kind: 'none' },
};

const peerStatistics: admin.DaemonStatus['peerStatistics'] = {
  datagramsSent: 1_200,
  datagramsReceived: 1_100,
  bytesSent: 2_097_152,
  bytesReceived: 1_572_864,
  droppedMalformed: 1,
  droppedUnknownSender: 16,
  droppedOtherFleet: 2,
  droppedUnauthenticated: 8,
  droppedOversized: 4,
  callsMade: 31,
  callsServed: 32,
  callBytesSent: 1_048_576,
  callBytesReceived: 524_288,
  probesSent: 100,
  probesFailed: 6,
  memberCount: 2,
  newsCount: 0,
  roundTripP50Ms: 0.42,
  roundTripP99Ms: 3.1,
};

const daemon: admin.DaemonStatus = {
  instanceId: 'entry-1',
  region: 'navarra',
  failureDomain: 'pamplona-a',
  ready: true,
  reason: 'ready',
  openRequests: 3,
  revisions: { north: 7 },
  groups: [],
  stranded: [],
  peers: [],
  peerStatistics,
  platform,
  platformOutageMs: null,
  memoryBytes: 104_857_600,
  uptimeMs: 60_000,
};

const inOutage: admin.DaemonStatus = {
  ...daemon,
  instanceId: 'entry-2',
  platform: { ...platform, outage: { kind: 'outage', sinceMs: 9, retryAfterMs: 1_250 } },
  platformOutageMs: 42_400,
};

const test = uvu.suite('formatStatus');

const rowsOf = (text: string, heading: string): readonly (readonly string[])[] => {
  const section = text.split('\n\n').find((part) => part.split('\n')[0]!.includes(heading)) ?? '';
  return section.split('\n').map((line) => line.split(/ {2,}/));
};

test('shows the platform calls of each daemon with its budget, and an outage', () => {
  const text = formatStatus({ daemons: [daemon, inOutage], unreachable: [] });
  assert.equal(rowsOf(text, 'OUTAGE'), [
    ['DAEMON', 'OUTAGE', 'READS/S', 'WRITES/S', 'WAITING', 'TURNED AWAY', 'FAILED'],
    ['entry-1', 'no', '12.3 of 1000.0', '1.5 of 150.0', '2', '7', '3'],
    ['entry-2', 'for 42 s, next try in 1.3 s', '12.3 of 1000.0', '1.5 of 150.0', '2', '7', '3'],
    ['all', '1 of 2 see one', '24.7', '3.0', '4', '14', '6'],
  ]);
});

test('shows the traffic between daemons', () => {
  const text = formatStatus({ daemons: [daemon], unreachable: [] });
  const [headings, row] = rowsOf(text, 'DATAGRAMS');
  const traffic = Object.fromEntries(headings!.map((heading, index) => [heading, row![index]]));
  assert.equal(traffic, {
    DAEMON: 'entry-1',
    MEMBERS: '2',
    'DATAGRAMS OUT/IN': '1200/1100',
    'MB OUT/IN': '2.0/1.5',
    'CALLS OUT/IN': '31/32',
    'CALL MB OUT/IN': '1.0/0.5',
    DROPPED: '31',
    'PROBES FAILED': '6 of 100',
    'ROUND TRIP P50/P99': '0.42/3.10 ms',
  });
});

test('shows the reason for an unreachable daemon when no daemon responds', () => {
  const text = formatStatus({
    daemons: [],
    unreachable: [{ instanceId: 'entry-3', message: 'gone' }],
  });
  assert.match(text, 'no answer: gone');
});

test.run();
