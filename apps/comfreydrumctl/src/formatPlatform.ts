import type * as admin from '@comfreydrum/admin';
import { formatTable } from './formatTable';

type Daemons = readonly admin.DaemonStatus[];
type SummedField =
  'readsPerSecond' | 'writesPerSecond' | 'waitingCount' | 'turnedAwayCount' | 'failureCount';

const msPerSecond = 1_000;

const describeOutage = ({ platform, platformOutageMs }: admin.DaemonStatus): string => {
  if (platform.outage.kind === 'none' || platformOutageMs === null) return 'no';
  const durationSeconds = Math.round(platformOutageMs / msPerSecond);
  const retrySeconds = (platform.outage.retryAfterMs / msPerSecond).toFixed(1);
  return `for ${durationSeconds} s, next try in ${retrySeconds} s`;
};

const formatBudgetUse = (usedPerSecond: number, budgetPerSecond: number): string =>
  `${usedPerSecond.toFixed(1)} of ${budgetPerSecond.toFixed(1)}`;

const formatDaemon = (daemon: admin.DaemonStatus): readonly string[] => {
  const { platform } = daemon;
  return [
    daemon.instanceId,
    describeOutage(daemon),
    formatBudgetUse(platform.readsPerSecond, platform.readBudgetPerSecond),
    formatBudgetUse(platform.writesPerSecond, platform.writeBudgetPerSecond),
    String(platform.waitingCount),
    String(platform.turnedAwayCount),
    String(platform.failureCount),
  ];
};

const formatTotals = (daemons: Daemons): readonly string[] => {
  const sum = (name: SummedField) =>
    daemons.reduce((total, { platform }) => total + platform[name], 0);
  const outageCount = daemons.filter(({ platform }) => platform.outage.kind === 'outage').length;
  return [
    'all',
    outageCount === 0 ? 'no' : `${outageCount} of ${daemons.length} see one`,
    sum('readsPerSecond').toFixed(1),
    sum('writesPerSecond').toFixed(1),
    String(sum('waitingCount')),
    String(sum('turnedAwayCount')),
    String(sum('failureCount')),
  ];
};

/** Formats the platform calls of each daemon with their budgets, and the platform outages that daemons detect. */
export const formatPlatform = (daemons: Daemons): string =>
  formatTable(
    ['DAEMON', 'OUTAGE', 'READS/S', 'WRITES/S', 'WAITING', 'TURNED AWAY', 'FAILED'],
    [...daemons.map(formatDaemon), formatTotals(daemons)],
  );
