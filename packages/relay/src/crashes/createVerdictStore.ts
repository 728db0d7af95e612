import type * as clocks from '@comfreydrum/clock';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import * as zod from 'zod';
import { quarantineLifetimeMs, type Verdict } from './createCrashMonitor';

/** Dependencies of the verdict store. */
export interface VerdictStoreOptions {
  readonly client: objectStore.PlatformClient;
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly key: objectStore.ObjectKey;
  /** Whether this daemon holds the lease; only the holder calls the store. */
  readonly isHolder: () => boolean;
  readonly verdicts: () => readonly Verdict[];
  /** Called with the stored verdicts that this daemon lacks. */
  readonly onLoaded: (verdicts: readonly Verdict[]) => void;
}

const tickIntervalMs = 200;
/** Time after a failed call until the next one. */
const retryDelayMs = 1_000;
/** The newest verdicts are kept; an object of this many is far below the size limit of the store. */
const maxStoredVerdicts = 1_000;

const recordSchema = zod.object({
  entries: zod.array(zod.object({ fingerprint: zod.string(), quarantinedAtWallMs: zod.number() })),
});

/**
 * Keeps the quarantined requests in the store, so that they stay quarantined when all daemons are killed. Reads them
 * when this daemon becomes the holder of the lease, and writes them when they change.
 */
export const createVerdictStore = (options: VerdictStoreOptions): lifecycle.Component => {
  const { client, clock, log, key, verdicts } = options;
  let timer: NodeJS.Timeout | undefined;
  let isBusy = false;
  let isLoaded = false;
  let version: number | undefined;
  let storedFingerprints = '';
  let nextCallAtMs = -Infinity;

  const listFingerprints = (all: readonly Verdict[]) =>
    all
      .map(({ fingerprint }) => fingerprint)
      .sort()
      .join();

  const toVerdict = (entry: zod.infer<typeof recordSchema>['entries'][number]): Verdict => {
    const ageMs = Math.max(0, clock.wallMs() - entry.quarantinedAtWallMs);
    return { fingerprint: entry.fingerprint, atMs: clock.monotonicMs() - ageMs };
  };

  const recordFailure = ({ kind, step, peer, message }: objectStore.PlatformFailure) => {
    log.info({ step, peer, kind }, message);
    nextCallAtMs = clock.monotonicMs() + retryDelayMs;
    // The version may have changed: another holder wrote, or a write without a response took effect.
    isLoaded = false;
  };

  const load = async () => {
    const got = await client.get(key);
    if (!got.ok && got.error.kind !== 'not-found') {
      recordFailure(got.error);
      return;
    }
    isLoaded = true;
    version = got.ok ? got.value.version : undefined;
    if (!got.ok) return;
    const checked = recordSchema.safeParse(got.value.value);
    if (!checked.success) {
      log.warn(
        { step: 'quarantine', version },
        `object ${key.kind}/${key.name} is invalid: expected entries with fingerprint and quarantinedAtWallMs`,
      );
      return;
    }
    const stored = checked.data.entries
      .map(toVerdict)
      .filter(({ atMs }) => clock.monotonicMs() - atMs < quarantineLifetimeMs);
    const known = new Set(verdicts().map(({ fingerprint }) => fingerprint));
    storedFingerprints = listFingerprints(stored);
    options.onLoaded(stored.filter(({ fingerprint }) => !known.has(fingerprint)));
  };

  const write = async (current: readonly Verdict[]) => {
    const entries = current.slice(-maxStoredVerdicts).map(({ fingerprint, atMs }) => ({
      fingerprint,
      quarantinedAtWallMs: Math.round(clock.wallMs() - (clock.monotonicMs() - atMs)),
    }));
    const condition = version === undefined ? ('absent' as const) : { version };
    const put = await client.put(key, { entries }, condition);
    if (!put.ok) {
      recordFailure(put.error);
      return;
    }
    version = put.value;
    storedFingerprints = listFingerprints(current);
    log.info({ step: 'quarantine', version, count: entries.length }, 'stored quarantined requests');
  };

  const tick = async () => {
    if (!options.isHolder()) {
      isLoaded = false;
      return;
    }
    if (isBusy || clock.monotonicMs() < nextCallAtMs) return;
    isBusy = true;
    try {
      if (!isLoaded) await load();
      const current = verdicts();
      if (isLoaded && listFingerprints(current) !== storedFingerprints) await write(current);
    } finally {
      isBusy = false;
    }
  };

  return {
    name: 'verdict store',
    start: () => {
      timer = setInterval(() => {
        void tick();
      }, tickIntervalMs);
    },
    stop: () => clearInterval(timer),
  };
};
