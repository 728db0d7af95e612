import type * as peers from '@comfreydrum/peers';
import type * as testing from '@comfreydrum/testing';
import { sampleProcess, type ProcessSample } from './sampleProcess';
import type { ControlDaemon, ControlFleet } from './startControlFleet';

/** Cost of the control plane over a time window: means per daemon, unless the field says otherwise. */
export interface ControlCost {
  readonly cpuFraction: number;
  /** Maximum over the daemons. */
  readonly maxCpuFraction: number;
  readonly memoryBytes: number;
  readonly maxMemoryBytes: number;
  /** Bytes sent and received, including 28 bytes of IP and UDP headers per datagram. */
  readonly bytesPerSecond: number;
  readonly datagramBytesPerSecond: number;
  readonly datagramsPerSecond: number;
  readonly callsPerSecond: number;
  /** Total of the fleet, as for `platformWritesPerSecond`; a watch counts as a read. */
  readonly platformReadsPerSecond: number;
  readonly platformWritesPerSecond: number;
}

interface DaemonSample {
  readonly atMs: number;
  readonly process: ProcessSample;
  readonly peers: peers.PeerStatistics;
}

const headerBytes = 28;

const readPeerStatistics = async (daemon: ControlDaemon) =>
  (await daemon.call('peers.statistics')) as peers.PeerStatistics;

const mean = (values: readonly number[]) =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const computeCost = (before: DaemonSample, after: DaemonSample) => {
  const seconds = (after.atMs - before.atMs) / 1_000;
  const rate = (select: (sample: DaemonSample) => number) =>
    (select(after) - select(before)) / seconds;
  const datagrams = rate((sample) => sample.peers.datagramsSent + sample.peers.datagramsReceived);
  const payloadBytes = rate((sample) => sample.peers.bytesSent + sample.peers.bytesReceived);
  const datagramBytes = payloadBytes + datagrams * headerBytes;
  return {
    cpuFraction: rate((sample) => sample.process.cpuMs) / 1_000,
    memoryBytes: after.process.memoryBytes,
    bytesPerSecond: rate((sample) => sample.process.streamBytes) + datagramBytes,
    datagramBytesPerSecond: datagramBytes,
    datagramsPerSecond: datagrams,
    callsPerSecond: rate((sample) => sample.peers.callsMade),
  };
};

const computePlatformRates = (
  before: testing.PlatformCounts,
  after: testing.PlatformCounts,
  seconds: number,
) => ({
  platformReadsPerSecond: (after.reads + after.watches - before.reads - before.watches) / seconds,
  platformWritesPerSecond: (after.writes - before.writes) / seconds,
});

/** Measures the control plane while `work` runs; statistics are requested outside of the time window. */
export const measureControlCost = async (
  fleet: ControlFleet,
  work: () => Promise<void>,
): Promise<ControlCost> => {
  const sample = async (daemon: ControlDaemon, statistics: peers.PeerStatistics) => ({
    atMs: performance.now(),
    process: await sampleProcess(daemon.pid),
    peers: statistics,
  });
  const peersBefore = await Promise.all(fleet.daemons.map(readPeerStatistics));
  const before = await Promise.all(
    fleet.daemons.map((daemon, index) => sample(daemon, peersBefore[index]!)),
  );
  const countsBefore = await fleet.platformCounts();
  const startMs = performance.now();
  await work();
  const seconds = (performance.now() - startMs) / 1_000;
  const countsAfter = await fleet.platformCounts();
  const processes = await Promise.all(fleet.daemons.map(({ pid }) => sampleProcess(pid)));
  const atMs = performance.now();
  const peersAfter = await Promise.all(fleet.daemons.map(readPeerStatistics));
  const costs = before.map((sampleBefore, index) =>
    computeCost(sampleBefore, { atMs, process: processes[index]!, peers: peersAfter[index]! }),
  );
  const average = (select: (cost: (typeof costs)[number]) => number) => mean(costs.map(select));
  return {
    cpuFraction: average(({ cpuFraction }) => cpuFraction),
    maxCpuFraction: Math.max(...costs.map(({ cpuFraction }) => cpuFraction)),
    memoryBytes: average(({ memoryBytes }) => memoryBytes),
    maxMemoryBytes: Math.max(...costs.map(({ memoryBytes }) => memoryBytes)),
    bytesPerSecond: average(({ bytesPerSecond }) => bytesPerSecond),
    datagramBytesPerSecond: average((cost) => cost.datagramBytesPerSecond),
    datagramsPerSecond: average(({ datagramsPerSecond }) => datagramsPerSecond),
    callsPerSecond: average(({ callsPerSecond }) => callsPerSecond),
    ...computePlatformRates(countsBefore, countsAfter, seconds),
  };
};
