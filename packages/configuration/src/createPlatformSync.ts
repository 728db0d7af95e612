import type * as clock from '@comfreydrum/clock';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';
import { configurationKind } from './createRevisionWriter';
import type { FreshnessTracker } from './createFreshnessTracker';
import { storedRevisionSchema, type TeamRevision } from './TeamRevision';

/** Keeps the revisions of this instance in sync with the platform. */
export interface PlatformSync {
  /**
   * Runs until the signal aborts. A watcher of its region watches the platform continuously; any other
   * instance polls for changes when its latest confirmation has aged.
   */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

/** The dependencies and settings of the platform sync. */
export interface PlatformSyncOptions {
  readonly client: objectStore.PlatformClient;
  readonly membership: peers.Membership;
  readonly clock: clock.Clock;
  readonly freshnessTracker: FreshnessTracker;
  readonly windowMs: number;
  readonly hash: (text: string) => string;
  readonly random: () => number;
  readonly sleep: (durationMs: number) => Promise<void>;
  readonly onRevisions: (revisions: readonly TeamRevision[]) => void;
  readonly onInvalidObject: (name: string) => void;
}

const watchersPerRegion = 2;
const watchesPerWindow = 5;
const checksPerWindow = 30;
const maxRetryWindowFraction = 0.2;

/** Returns whether a member is one of the watchers of its region, selected by rendezvous hashing. */
export const isWatcher = (
  self: peers.PeerMember,
  members: readonly peers.PeerMember[],
  hash: (text: string) => string,
): boolean => {
  const rank = ({ instanceId }: peers.PeerMember) => hash(`configuration watcher ${instanceId}`);
  const own = rank(self);
  const rankedBefore = members.filter(
    (member) =>
      member.region === self.region &&
      member.state === 'live' &&
      member.instanceId !== self.instanceId &&
      rank(member) < own,
  );
  return rankedBefore.length < watchersPerRegion;
};

/** Creates a platform sync; it stops when the signal of `run` aborts. */
export const createPlatformSync = (options: PlatformSyncOptions): PlatformSync => {
  const { client, freshnessTracker, windowMs } = options;
  const checkIntervalMs = windowMs / checksPerWindow;
  let mustList = false;
  let consecutiveFailures = 0;

  const parseRevisions = (objects: readonly objectStore.StoredObject[]): readonly TeamRevision[] =>
    objects.flatMap(({ name, value }) => {
      const checked = storedRevisionSchema.safeParse(value);
      if (!checked.success) {
        options.onInvalidObject(name);
        return [];
      }
      const { revision, digest, document } = checked.data;
      return [{ team: name, revision, digest, document }];
    });

  const list = async () => {
    const requestedAtMs = options.clock.monotonicMs();
    const listed = await client.list(configurationKind, 'normal');
    if (!listed.ok) return listed.error;
    options.onRevisions(parseRevisions(listed.value.objects));
    mustList = false;
    freshnessTracker.confirmByPlatform({ atMs: requestedAtMs, version: listed.value.version });
    return undefined;
  };

  const watch = async (sinceVersion: number, timeoutMs: number, signal: AbortSignal) => {
    const requestedAtMs = options.clock.monotonicMs();
    const batch = await client.watch(configurationKind, sinceVersion, timeoutMs, signal);
    if (!batch.ok) {
      if (batch.error.kind === 'expired') mustList = true;
      return batch.error;
    }
    options.onRevisions(parseRevisions(batch.value.changed));
    freshnessTracker.confirmByPlatform({ atMs: requestedAtMs, version: batch.value.version });
    return undefined;
  };

  const isRegionWatcher = () =>
    isWatcher(options.membership.self(), options.membership.members(), options.hash);

  /** Returns whether half of the window, plus random jitter, has passed since the last confirmation. */
  const isConfirmationOld = () => {
    const confirmation = freshnessTracker.platformConfirmation();
    if (confirmation === undefined) return true;
    const ageMs = options.clock.monotonicMs() - confirmation.atMs;
    return ageMs > windowMs * (0.5 + 0.2 * options.random());
  };

  /** Fetches the changes since the latest confirmation, or lists all when no watch can continue. */
  const fetchChanges = (timeoutMs: number, signal: AbortSignal) => {
    const confirmation = freshnessTracker.platformConfirmation();
    return confirmation === undefined || mustList
      ? list()
      : watch(confirmation.version, timeoutMs, signal);
  };

  const step = async (signal: AbortSignal) => {
    if (isRegionWatcher()) return fetchChanges(Math.floor(windowMs / watchesPerWindow), signal);
    if (isConfirmationOld() || mustList) return fetchChanges(0, signal);
    await options.sleep(checkIntervalMs);
    return undefined;
  };

  return {
    run: async (signal) => {
      while (!signal.aborted) {
        const failure = await step(signal);
        if (signal.aborted) return;
        const hasFailed = failure !== undefined && failure.kind !== 'expired';
        consecutiveFailures = hasFailed ? consecutiveFailures + 1 : 0;
        if (!hasFailed) continue;
        const maxJitterMs = Math.min(
          windowMs * maxRetryWindowFraction,
          checkIntervalMs * 2 ** Math.min(consecutiveFailures, 6),
        );
        await options.sleep(checkIntervalMs / 2 + maxJitterMs * options.random());
      }
    },
  };
};
