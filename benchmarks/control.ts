/** Measures the cost of the control plane per daemon at several fleet sizes, and fits lines to the results. */
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import * as testing from '@comfreydrum/testing';
import type * as peers from '@comfreydrum/peers';
import {
  applyChanges,
  applyRevision,
  createDocument,
  readInForceDelaysMs,
} from './control/applyChanges';
import { fitLine } from './control/fitLine';
import { measureControlCost, type ControlCost } from './control/measureControlCost';
import { startControlFleet, type ControlFleet } from './control/startControlFleet';

interface SizeReport {
  readonly daemonCount: number;
  readonly idle: ControlCost;
  readonly changing: ControlCost;
  /** Bytes that one configuration change costs one daemon; `cpuMsPerChange` is its processor time. */
  readonly bytesPerChange: number;
  readonly cpuMsPerChange: number;
  readonly inForceP50Ms: number;
  readonly inForceP99Ms: number;
  readonly inForceMaxMs: number;
  /** Number of pairs of change and daemon with a measured latency; `inForceMissing` counts the others. */
  readonly inForceCount: number;
  readonly inForceMissing: number;
}

const defaultSizes = '8,32';
/** Fleet size that the results are extrapolated to. */
const targetDaemonCount = 340;
/** Rate of configuration changes to design for: 6,600 a day. */
const changesPerSecondOfLetter = 6_600 / 86_400;
const joinTimeoutMs = 60_000;
const settleMs = 15_000;
/** A daemon probes one other daemon per interval, so `daemonCount` intervals cover the whole fleet. */
const probeIntervalMs = 1_000;
const idleMs = 20_000;
/** Changes applied before measuring, so that the results exclude the compilation of code on its first run. */
const warmUpCount = 15;
const changeCount = 15;
const changeIntervalMs = 1_000;
const firstMeasuredRevision = warmUpCount + 2;

const waitUntilJoined = (fleet: ControlFleet) =>
  testing.waitUntil(
    async () => {
      const counts = await Promise.all(
        fleet.daemons.map(async (daemon) => {
          const statistics = (await daemon.call('peers.statistics')) as peers.PeerStatistics;
          return statistics.memberCount;
        }),
      );
      return counts.every((count) => count === fleet.daemons.length);
    },
    joinTimeoutMs,
    'every daemon to list all members',
    500,
  );

const measureSize = async (daemonCount: number): Promise<SizeReport> => {
  const fleet = await startControlFleet(daemonCount);
  try {
    await waitUntilJoined(fleet);
    await applyRevision(fleet, 1);
    await applyChanges(fleet, 2, warmUpCount + 1, changeIntervalMs);
    await sleep(Math.max(settleMs, daemonCount * probeIntervalMs));
    const idle = await measureControlCost(fleet, () => sleep(idleMs));
    console.error(JSON.stringify({ daemonCount, idle }));
    const changing = await measureControlCost(fleet, () =>
      applyChanges(
        fleet,
        firstMeasuredRevision,
        firstMeasuredRevision + changeCount - 1,
        changeIntervalMs,
      ),
    );
    await sleep(settleMs / 3);
    const inForceMs = await readInForceDelaysMs(fleet, firstMeasuredRevision);
    const quantile = (fraction: number) =>
      inForceMs[Math.min(inForceMs.length - 1, Math.floor(inForceMs.length * fraction))]!;
    const seconds = changeIntervalMs / 1_000;
    return {
      daemonCount,
      idle,
      changing,
      bytesPerChange: (changing.bytesPerSecond - idle.bytesPerSecond) * seconds,
      cpuMsPerChange: (changing.cpuFraction - idle.cpuFraction) * changeIntervalMs,
      inForceP50Ms: quantile(0.5),
      inForceP99Ms: quantile(0.99),
      inForceMaxMs: quantile(1),
      inForceCount: inForceMs.length,
      inForceMissing: changeCount * daemonCount - inForceMs.length,
    };
  } finally {
    await fleet.stop();
  }
};

const extrapolate = (reports: readonly SizeReport[]) => {
  const fitValues = (select: (report: SizeReport) => number) => {
    const fitted = fitLine(reports.map((report) => ({ x: report.daemonCount, y: select(report) })));
    return {
      intercept: fitted.intercept,
      slopePerDaemon: fitted.slope,
      at340: fitted.predict(targetDaemonCount),
    };
  };
  const addChanges =
    (idle: (report: SizeReport) => number, perChange: (report: SizeReport) => number) =>
    (report: SizeReport) =>
      idle(report) + perChange(report) * changesPerSecondOfLetter;
  return {
    cpuFraction: fitValues(
      addChanges(
        ({ idle }) => idle.cpuFraction,
        ({ cpuMsPerChange }) => cpuMsPerChange / 1_000,
      ),
    ),
    memoryBytes: fitValues(({ changing }) => changing.memoryBytes),
    bytesPerSecond: fitValues(
      addChanges(
        ({ idle }) => idle.bytesPerSecond,
        ({ bytesPerChange }) => bytesPerChange,
      ),
    ),
    datagramsPerSecond: fitValues(({ idle }) => idle.datagramsPerSecond),
    platformReadsPerSecond: fitValues(({ idle }) => idle.platformReadsPerSecond),
    platformWritesPerSecond: fitValues(({ idle }) => idle.platformWritesPerSecond),
    bytesPerChange: fitValues(({ bytesPerChange }) => bytesPerChange),
    cpuMsPerChange: fitValues(({ cpuMsPerChange }) => cpuMsPerChange),
    inForceP99Ms: fitValues(({ inForceP99Ms }) => inForceP99Ms),
  };
};

/** Measures the fleet sizes in CONTROL_SIZES one after the other, and fits a line through each result. */
export const bench = async (): Promise<object> => {
  const sizes = (process.env.CONTROL_SIZES ?? defaultSizes).split(',').map(Number);
  const reports: SizeReport[] = [];
  for (const size of sizes) {
    const report = await measureSize(size);
    console.error(JSON.stringify(report));
    reports.push(report);
  }
  return {
    documentBytes: JSON.stringify(createDocument(1)).length,
    changesPerSecondOfLetter,
    sizes: reports,
    lines: extrapolate(reports),
  };
};
