import type * as admin from '@comfreydrum/admin';
import { formatTable } from './formatTable';

const bytesPerMegabyte = 1_048_576;

const toMegabytes = (sizeBytes: number): string => (sizeBytes / bytesPerMegabyte).toFixed(1);

/** Returns the number of dropped messages over all drop reasons. */
const sumDropped = (counts: admin.DaemonStatus['peerStatistics']): number =>
  Object.entries(counts)
    .filter(([name]) => name.startsWith('dropped'))
    .reduce((sum, [, count]) => sum + count, 0);

const formatDaemon = ({ instanceId, peerStatistics }: admin.DaemonStatus): readonly string[] => {
  const counts = peerStatistics;
  const droppedCount = sumDropped(counts);
  return [
    instanceId,
    String(counts.memberCount),
    `${counts.datagramsSent}/${counts.datagramsReceived}`,
    `${toMegabytes(counts.bytesSent)}/${toMegabytes(counts.bytesReceived)}`,
    `${counts.callsMade}/${counts.callsServed}`,
    `${toMegabytes(counts.callBytesSent)}/${toMegabytes(counts.callBytesReceived)}`,
    String(droppedCount),
    `${counts.probesFailed} of ${counts.probesSent}`,
    `${counts.roundTripP50Ms.toFixed(2)}/${counts.roundTripP99Ms.toFixed(2)} ms`,
  ];
};

/** Formats the traffic between daemons, counted from the start of each daemon. */
export const formatTraffic = (daemons: readonly admin.DaemonStatus[]): string =>
  formatTable(
    [
      'DAEMON',
      'MEMBERS',
      'DATAGRAMS OUT/IN',
      'MB OUT/IN',
      'CALLS OUT/IN',
      'CALL MB OUT/IN',
      'DROPPED',
      'PROBES FAILED',
      'ROUND TRIP P50/P99',
    ],
    daemons.map(formatDaemon),
  );
