import { setTimeout as delay } from 'node:timers/promises';
import * as clocks from '@comfreydrum/clock';
import type { PlatformClient, StoredObject, WatchBatch } from './PlatformClient';
import type { PlatformFailure } from './PlatformFailure';

/** What following a kind of objects needs. */
export interface KindFollowerOptions {
  readonly client: Pick<PlatformClient, 'list' | 'watch'>;
  readonly clock: clocks.Clock;
  readonly kind: string;
  /** How long a watch waits at the store for a change. */
  readonly waitMs: () => number;
  /** Whether to call the store now; while not, nothing is known of what it holds. */
  readonly follows?: (() => boolean) | undefined;
  /** The least time between the starts of two calls, so that changes in a burst share one. */
  readonly spacingMs: () => number;
  /** The longest pause after a failed call; the pause is drawn at random below it. */
  readonly maxRetryMs: number;
  /** Gives a number from 0 up to 1. */
  readonly random: () => number;
  /** Takes all objects of the kind. */
  readonly onSnapshot: (objects: readonly StoredObject[]) => void;
  readonly onChange: (batch: WatchBatch) => void;
  /** Told that everything the store held at `moment` has been handed over. */
  readonly onCurrent: (moment: clocks.Moment) => void;
  readonly onFailure: (failure: PlatformFailure) => void;
}

/** Follows all objects of one kind: lists them, then watches, and lists anew when history is gone. */
export interface KindFollower {
  /** Follows until the signal aborts. */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

const minRetryFraction = 0.1;
/** How soon a follower notices that it is to call the store again. */
const idleMs = 50;

/** Creates a follower that has listed nothing yet. */
export const createKindFollower = (options: KindFollowerOptions): KindFollower => {
  const { client, clock, kind } = options;
  let sinceVersion: number | undefined;

  const list = async (askedAt: clocks.Moment) => {
    const listed = await client.list(kind);
    if (!listed.ok) return listed.error;
    sinceVersion = listed.value.version;
    options.onSnapshot(listed.value.objects);
    options.onCurrent(askedAt);
    return undefined;
  };

  const watch = async (askedAt: clocks.Moment, since: number, signal: AbortSignal) => {
    const batch = await client.watch(kind, since, options.waitMs(), signal);
    if (!batch.ok) {
      if (batch.error.kind === 'expired') sinceVersion = undefined;
      return batch.error;
    }
    sinceVersion = batch.value.version;
    options.onChange(batch.value);
    options.onCurrent(askedAt);
    return undefined;
  };

  const sleep = (durationMs: number, signal: AbortSignal) =>
    delay(Math.max(0, durationMs), undefined, { signal }).catch(() => undefined);

  return {
    run: async (signal) => {
      while (!signal.aborted) {
        if (options.follows?.() === false) {
          sinceVersion = undefined;
          await sleep(idleMs, signal);
          continue;
        }
        const askedAt = clocks.readMoment(clock);
        const failure = await (sinceVersion === undefined
          ? list(askedAt)
          : watch(askedAt, sinceVersion, signal));
        if (signal.aborted) return;
        if (failure !== undefined) options.onFailure(failure);
        const mustPause = failure !== undefined && failure.kind !== 'expired';
        const spacedMs = askedAt.monotonicMs + options.spacingMs() - clock.monotonicMs();
        const retryMs =
          options.maxRetryMs * (minRetryFraction + (1 - minRetryFraction) * options.random());
        await sleep(mustPause ? retryMs : spacedMs, signal);
      }
    },
  };
};
