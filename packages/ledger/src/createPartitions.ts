import type * as clock from '@comfreydrum/clock';
import type * as errors from '@comfreydrum/errors';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';
import createHasher from 'xxhash-wasm';
import { countCalls } from './countCalls';
import { createPartitionLayout } from './createPartitionLayout';
import { createOwnerRanking, type OwnerRanking } from './createOwnerRanking';
import { createPartitionWriter, type PartitionWriter } from './createPartitionWriter';
import { createSubmitter } from './createSubmitter';
import { partitionOf } from './keyIdentity';
import type { LedgerOperation, OperationResult } from './LedgerOperation';
import type { LedgerSettings } from './ledgerSettings';
import type { LedgerCounts } from './LedgerStatistics';

/** Access of one daemon to all partitions of the ledger. */
export interface Partitions {
  readonly start: () => Promise<void>;
  readonly partitionCount: () => Promise<errors.Result<number>>;
  readonly writerOf: (partition: number) => PartitionWriter;
  /** Submits an operation to the writer of its key's partition. */
  readonly submit: (
    operation: LedgerOperation,
    isStillNeeded?: () => boolean,
  ) => Promise<OperationResult>;
  readonly indexBytes: () => number;
}

export interface PartitionsOptions {
  readonly client: objectStore.PlatformClient;
  readonly membership: peers.Membership;
  readonly calls: peers.PeerCalls;
  readonly clockSource: clock.Clock;
  readonly settings: LedgerSettings;
  readonly counts: LedgerCounts;
  /** Called once if the stored number of partitions differs from the settings. */
  readonly onLayoutMismatch: (storedCount: number) => void;
}

const notStartedRetryMs = 1_000;

/** Creates the partitions, which read nothing before the first operation. */
export const createPartitions = (options: PartitionsOptions): Partitions => {
  const { membership, calls, clockSource, settings, counts } = options;
  const client = countCalls(options.client, {
    onRead: () => {
      counts.platformReads += 1;
    },
    onWrite: () => {
      counts.platformWrites += 1;
    },
  });
  const layout = createPartitionLayout(client, settings.partitionCount, options.onLayoutMismatch);
  const writers = new Map<number, PartitionWriter>();
  let ownerRanking: OwnerRanking = { rank: () => [] };

  const observer = {
    onBatch: (operationCount: number) => {
      counts.batches += 1;
      counts.batchedOperations += operationCount;
    },
    onConflict: () => {
      counts.writeConflicts += 1;
    },
    onSeal: (entryCount: number) => {
      counts.sealedEntries += entryCount;
    },
  };

  const writerOf = (partition: number): PartitionWriter => {
    const existing = writers.get(partition);
    if (existing) return existing;
    const created = createPartitionWriter({
      client,
      clockSource,
      settings,
      observer,
      partition,
    });
    writers.set(partition, created);
    return created;
  };

  const submitter = createSubmitter({
    calls,
    membership,
    clockSource,
    ownerRanking: () => ownerRanking,
    writerOf,
    forwardTimeoutMs: settings.forwardTimeoutMs,
    onForward: (outcome) => {
      if (outcome === 'answered') counts.forwardsAnswered += 1;
      else counts.forwardsFailed += 1;
    },
  });

  return {
    start: async () => {
      ownerRanking = createOwnerRanking(membership, await createHasher());
    },
    partitionCount: layout.partitionCount,
    writerOf,
    submit: async (operation, isStillNeeded = () => true) => {
      const count = await layout.partitionCount();
      if (!count.ok) {
        const reason = `${count.error.step} on ${count.error.peer}: ${count.error.message}`;
        const cause = count.error.kind === 'refused' ? 'platform-busy' : 'platform-down';
        return { kind: 'refused', cause, reason, retryAfterMs: notStartedRetryMs };
      }
      return submitter.submit(partitionOf(operation.keyId, count.value), operation, isStillNeeded);
    },
    indexBytes: () => [...writers.values()].reduce((sum, writer) => sum + writer.indexBytes(), 0),
  };
};
