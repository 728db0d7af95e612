import { setTimeout as sleep } from 'node:timers/promises';
import type * as clock from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';
import { applyOperations, type AppliedOperations } from './applyOperations';
import { createPartitionStore } from './createPartitionStore';
import type { LedgerEntry } from './LedgerEntry';
import type { LedgerOperation, OperationResult } from './LedgerOperation';
import type { LedgerSettings } from './ledgerSettings';
import type { PartitionHead } from './PartitionHead';

/** Receives the events of a partition writer, for statistics. */
export interface WriterObserver {
  readonly onBatch: (operationCount: number) => void;
  readonly onConflict: () => void;
  readonly onSeal: (entryCount: number) => void;
}

/** Applies operations to one partition, in batches of one conditional update each. */
export interface PartitionWriter {
  /** Applies an operation; skips it if `isStillNeeded` returns false when its batch is formed. */
  readonly submit: (
    operation: LedgerOperation,
    isStillNeeded?: () => boolean,
  ) => Promise<OperationResult>;
  /** Reads all entries from the platform, oldest first; the last entry of a key takes precedence. */
  readonly readAll: () => Promise<
    errors.Result<readonly LedgerEntry[], objectStore.PlatformFailure>
  >;
  /** Returns the memory used by the partition's fingerprints, in bytes. */
  readonly indexBytes: () => number;
}

export interface PartitionWriterOptions {
  readonly client: objectStore.PlatformClient;
  readonly clockSource: clock.Clock;
  readonly settings: LedgerSettings;
  readonly observer: WriterObserver;
  readonly partition: number;
}

interface Pending {
  readonly operation: LedgerOperation;
  readonly isStillNeeded: () => boolean;
  readonly resolve: (result: OperationResult) => void;
}

type Refusal = Extract<OperationResult, { readonly kind: 'refused' }>;

const maxTries = 8;
const batchBytesLimit = 262_144;
const busyRetryMs = 500;
const retriedFailures = new Set<objectStore.PlatformFailure['kind']>([
  'conflict',
  'ambiguous',
  'not-found',
]);

const refuse = (cause: Refusal['cause'], reason: string): Refusal => ({
  kind: 'refused',
  cause,
  reason,
  retryAfterMs: busyRetryMs,
});

const toRefusal = ({ kind, step, peer, message }: objectStore.PlatformFailure): Refusal => {
  const reason = `${step} on ${peer}: ${message}`;
  if (kind === 'refused') return refuse('platform-busy', reason);
  return refuse(kind === 'too-large' ? 'too-large' : 'platform-down', reason);
};

const operationBytes = (operation: LedgerOperation): number =>
  operation.kind === 'finish' ? (operation.answer?.bodyBase64.length ?? 0) : 0;

/** Creates the writer of a partition, which reads nothing until the first operation. */
export const createPartitionWriter = (options: PartitionWriterOptions): PartitionWriter => {
  const { clockSource, settings, observer } = options;
  const store = createPartitionStore({ ...options, onSeal: observer.onSeal });
  const queue: Pending[] = [];
  let isRunning = false;
  let lastWriteAtMs = -Infinity;

  const apply = async (
    head: PartitionHead,
    operations: readonly LedgerOperation[],
  ): Promise<errors.Result<AppliedOperations, objectStore.PlatformFailure>> => {
    const keyIds = operations.map(({ keyId }) => keyId).filter((id) => !head.entries.has(id));
    const sealed = await store.segments.find(keyIds, head.segments);
    if (!sealed.ok) return sealed;
    const { clockMs } = head;
    const { settleMs, minWindowMs } = settings;
    const context = { clockMs, settleMs, minWindowMs, sealed: sealed.value };
    return errors.ok(applyOperations(head.entries, operations, context));
  };

  /**
   * Applies operations once. Returns their results, a failure, or `stale` if the results rest on a
   * cached head that may be outdated, so that the head must be read again.
   */
  const applyOnce = async (
    operations: readonly LedgerOperation[],
  ): Promise<errors.Result<readonly OperationResult[] | 'stale', objectStore.PlatformFailure>> => {
    const cached = store.current();
    const loaded = cached ? errors.ok(cached) : await store.load();
    if (!loaded.ok) return loaded;
    const { head, condition } = loaded.value;
    const applied = await apply(head, operations);
    if (!applied.ok) {
      store.invalidate();
      return applied;
    }
    const { entries, results, changed } = applied.value;
    if (!changed) {
      const isConclusive = !cached || results.every(({ kind }) => kind === 'ran');
      if (!isConclusive) store.invalidate();
      return errors.ok(isConclusive ? results : 'stale');
    }
    lastWriteAtMs = clockSource.monotonicMs();
    const committed = await store.commit({ ...head, entries }, condition);
    if (!committed.ok) return committed;
    observer.onBatch(operations.length);
    return errors.ok(results);
  };

  const processBatch = async (
    operations: readonly LedgerOperation[],
  ): Promise<readonly OperationResult[]> => {
    for (let tries = 0; tries < maxTries; tries += 1) {
      const result = await applyOnce(operations);
      if (result.ok && result.value !== 'stale') return result.value;
      if (result.ok) continue;
      if (!retriedFailures.has(result.error.kind)) {
        return operations.map(() => toRefusal(result.error));
      }
      if (result.error.kind === 'conflict') observer.onConflict();
    }
    return operations.map(() => refuse('overloaded', 'too many writers of the partition'));
  };

  const takeBatch = (): readonly Pending[] => {
    const batch: Pending[] = [];
    let sizeBytes = 0;
    while (batch.length < settings.batchLimit && sizeBytes < batchBytesLimit) {
      const pending = queue.shift();
      if (!pending) break;
      if (pending.isStillNeeded()) {
        batch.push(pending);
        sizeBytes += operationBytes(pending.operation);
      } else {
        pending.resolve(refuse('overloaded', 'the claim was given up before its turn'));
      }
    }
    return batch;
  };

  const processSafely = async (batch: readonly Pending[]): Promise<readonly OperationResult[]> => {
    try {
      return await processBatch(batch.map(({ operation }) => operation));
    } catch (cause) {
      store.invalidate();
      const reason = `partition ${options.partition}: ${errors.describeCause(cause)}`;
      return batch.map(() => refuse('platform-down', reason));
    }
  };

  const processQueue = async () => {
    isRunning = true;
    while (queue.length > 0) {
      const delayMs = lastWriteAtMs + settings.batchWindowMs - clockSource.monotonicMs();
      if (delayMs > 0) await sleep(delayMs);
      const batch = takeBatch();
      if (batch.length === 0) continue;
      const results = await processSafely(batch);
      batch.forEach(({ resolve }, index) => resolve(results[index]!));
      await store.maintain();
    }
    isRunning = false;
  };

  return {
    submit: (operation, isStillNeeded = () => true) => {
      if (queue.length >= settings.queueLimit) {
        return Promise.resolve(refuse('overloaded', 'too many operations wait for the partition'));
      }
      return new Promise((resolve) => {
        queue.push({ operation, isStillNeeded, resolve });
        if (!isRunning) void processQueue();
      });
    },
    readAll: store.readAll,
    indexBytes: store.segments.indexBytes,
  };
};
