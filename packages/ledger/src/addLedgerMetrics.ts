import type * as telemetry from '@comfreydrum/telemetry';
import type { LedgerStatistics } from './LedgerStatistics';

type NumberName = {
  [Name in keyof LedgerStatistics]: LedgerStatistics[Name] extends number ? Name : never;
}[keyof LedgerStatistics];

type Row = readonly [field: NumberName, name: string, help: string];

const counters: readonly Row[] = [
  ['platformReads', 'platform_reads_total', 'Objects read from the platform.'],
  ['platformWrites', 'platform_writes_total', 'Writes and removals at the platform.'],
  ['writeConflicts', 'write_conflicts_total', 'Writes that another daemon came before.'],
  ['batches', 'batches_total', 'Writes that carried operations.'],
  ['batchedOperations', 'batched_operations_total', 'Operations in those writes.'],
  ['sealedEntries', 'sealed_entries_total', 'Entries moved from heads to segments.'],
];

const gauges: readonly Row[] = [
  ['trackedClaims', 'tracked_claims', 'Claims that this daemon keeps a state of.'],
  ['pendingOutcomes', 'pending_outcomes', 'Outcomes that are not recorded yet.'],
  ['indexBytes', 'index_bytes', 'Memory of the fingerprints of sealed keys, in bytes.'],
];

const prefix = 'comfreydrum_ledger';

/** Registers the statistics of a ledger as metrics, which are read at each collection. */
export const addLedgerMetrics = (
  metrics: telemetry.Metrics,
  statistics: () => LedgerStatistics,
): void => {
  metrics.sampledCounters(
    `${prefix}_claims_total`,
    'Claims by decision.',
    'decision',
    () => statistics().claims,
  );
  metrics.sampledCounters(
    `${prefix}_forwards_total`,
    'Operations sent to the owner of a partition, by outcome.',
    'outcome',
    () => {
      const { forwardsAnswered, forwardsFailed } = statistics();
      return { answered: forwardsAnswered, failed: forwardsFailed };
    },
  );
  counters.forEach(([field, name, help]) =>
    metrics.sampledCounter(`${prefix}_${name}`, help, () => statistics()[field]),
  );
  gauges.forEach(([field, name, help]) =>
    metrics.gauge(`${prefix}_${name}`, help, () => statistics()[field]),
  );
};
