import { setTimeout as delay } from 'node:timers/promises';
import * as clocks from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import type { Era } from './Era';
import type { PlatformClient, StoredObject, WatchBatch } from './PlatformClient';
import type { PlatformFailure } from './PlatformFailure';

/** The dependencies and settings of a follower. */
export interface KindFollowerOptions {
  readonly client: Pick<PlatformClient, 'list' | 'watch'>;
  readonly clock: clocks.Clock;
  readonly kind: string;
  /** Returns how long a watch waits at the store for a change. */
  readonly watchTimeoutMs: () => number;
  /** Returns whether to call the store; disabling discards the watch position, so enabling lists again. */
  readonly isEnabled?: (() => boolean) | undefined;
  /** Returns the minimum time between the starts of two calls, which batches bursts of changes. */
  readonly minIntervalMs: () => number;
  /** The maximum delay after a failed call; the actual delay is random up to this value. */
  readonly maxRetryMs: number;
  /** Returns uniform numbers from 0 to 1, 1 excluded. */
  readonly random: () => number;
  /** Receives all objects of the kind after a list, and the era of the platform. */
  readonly onSnapshot: (objects: readonly StoredObject[], era: Era) => void;
  readonly onChange: (batch: WatchBatch) => void;
  /** Called when everything that the store contained at `moment` has been delivered. */
  readonly onSynced: (moment: clocks.Timestamp) => void;
  readonly onFailure: (failure: PlatformFailure) => void;
}

/**
 * Lists all objects of one kind, then watches them; lists again when the watch history has expired or the platform has come
 * back from an older copy.
 */
export interface KindFollower {
  /** Runs until the signal aborts. */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

const minRetryFraction = 0.1;
/** A watch that outlasts its wait by more than this is given up, whatever its client does; longer than the client's own margin. */
const watchOverdueMs = 1_000;
/** How often a disabled follower checks whether it is enabled again. */
const enabledCheckIntervalMs = 50;

/** Watches like the client, but never for much longer than `timeoutMs`. */
const watchWithinTime = async (
  client: Pick<PlatformClient, 'watch'>,
  kind: string,
  since: number,
  timeoutMs: number,
  stopSignal: AbortSignal,
): ReturnType<PlatformClient['watch']> => {
  const deadline = clocks.createDeadline(timeoutMs + watchOverdueMs, [stopSignal]);
  const { signal } = deadline;
  const givenUp = new Promise<Awaited<ReturnType<PlatformClient['watch']>>>((resolve) => {
    signal.addEventListener('abort', () => {
      const message = `the watch of ${kind} had not ended ${watchOverdueMs} ms after its wait of ${timeoutMs} ms`;
      resolve(errors.err({ kind: 'unreachable', step: 'watch objects', peer: 'store', message }));
    });
  });
  const watched = client.watch(kind, since, timeoutMs, signal);
  return Promise.race([watched, givenUp]).finally(deadline.release);
};

/** Creates a follower; its first call is a list. */
export const createKindFollower = (options: KindFollowerOptions): KindFollower => {
  const { client, clock, kind } = options;
  let sinceVersion: number | undefined;
  let era: Era;

  const list = async (requestedAt: clocks.Timestamp) => {
    const listed = await client.list(kind);
    if (!listed.ok) return listed.error;
    sinceVersion = listed.value.version;
    era = listed.value.era ?? era;
    options.onSnapshot(listed.value.objects, era);
    options.onSynced(requestedAt);
    return undefined;
  };

  const watch = async (
    requestedAt: clocks.Timestamp,
    since: number,
    signal: AbortSignal,
  ): Promise<PlatformFailure | undefined> => {
    const batch = await watchWithinTime(client, kind, since, options.watchTimeoutMs(), signal);
    if (!batch.ok) {
      if (batch.error.kind === 'expired') sinceVersion = undefined;
      return batch.error;
    }
    if (batch.value.era !== undefined && batch.value.era !== era) {
      sinceVersion = undefined;
      const message = `the store is in era ${batch.value.era}, the changes of ${kind} are followed in era ${era}`;
      return { kind: 'expired', step: 'watch objects', peer: 'store', message };
    }
    sinceVersion = batch.value.version;
    options.onChange(batch.value);
    options.onSynced(requestedAt);
    return undefined;
  };

  const sleep = (durationMs: number, signal: AbortSignal) =>
    delay(Math.max(0, durationMs), undefined, { signal }).catch(() => undefined);

  return {
    run: async (signal) => {
      while (!signal.aborted) {
        if (options.isEnabled?.() === false) {
          sinceVersion = undefined;
          await sleep(enabledCheckIntervalMs, signal);
          continue;
        }
        const requestedAt = clocks.readTimestamp(clock);
        const failure = await (sinceVersion === undefined
          ? list(requestedAt)
          : watch(requestedAt, sinceVersion, signal));
        if (signal.aborted) return;
        if (failure !== undefined) options.onFailure(failure);
        const hasFailed = failure !== undefined && failure.kind !== 'expired';
        const remainingIntervalMs =
          requestedAt.monotonicMs + options.minIntervalMs() - clock.monotonicMs();
        const retryDelayMs =
          options.maxRetryMs * (minRetryFraction + (1 - minRetryFraction) * options.random());
        await sleep(hasFailed ? retryDelayMs : remainingIntervalMs, signal);
      }
    },
  };
};
