import type { Freshness } from './ConfigurationStore';

/**
 * A confirmation that this instance has every revision that the platform stored at a time and version,
 * or a later one.
 */
export interface PlatformConfirmation {
  /** Monotonic time at which the platform was at `version`. */
  readonly atMs: number;
  /** The version of the platform, from which a watch can continue. */
  readonly version: number;
}

/**
 * Tracks the latest times at which the revisions of this instance were confirmed to be in force.
 *
 * A confirmation stays valid when a later revision is merged, since the merged revision is newer than
 * the one in force at the time of the confirmation.
 */
export interface FreshnessTracker {
  /** Records a confirmation by the platform, received directly or from a peer with the same digest. */
  readonly confirmByPlatform: (confirmation: PlatformConfirmation) => void;
  /** Records a confirmation by peers alone, which keeps instances fresh while the platform is down. */
  readonly confirmByPeers: (atMs: number) => void;
  /** Returns the latest confirmation by the platform, or undefined if there was none. */
  readonly platformConfirmation: () => PlatformConfirmation | undefined;
  readonly hasConfirmation: () => boolean;
  readonly freshness: (nowMs: number) => Freshness;
}

const isLater = (next: PlatformConfirmation, known: PlatformConfirmation) =>
  next.atMs === known.atMs ? next.version > known.version : next.atMs > known.atMs;

/** Creates a tracker that is stale since `startMs`; each confirmation is valid for `windowMs`. */
export const createFreshnessTracker = (startMs: number, windowMs: number): FreshnessTracker => {
  let platformConfirmation: PlatformConfirmation | undefined;
  let peersConfirmedAtMs: number | undefined;

  const latestConfirmedAtMs = () => {
    const confirmedAtMs = [platformConfirmation?.atMs, peersConfirmedAtMs].filter(
      (atMs) => atMs !== undefined,
    );
    return confirmedAtMs.length === 0 ? undefined : Math.max(...confirmedAtMs);
  };

  return {
    confirmByPlatform: (confirmation) => {
      if (platformConfirmation === undefined || isLater(confirmation, platformConfirmation))
        platformConfirmation = confirmation;
    },
    confirmByPeers: (atMs) => {
      peersConfirmedAtMs = Math.max(peersConfirmedAtMs ?? atMs, atMs);
    },
    platformConfirmation: () => platformConfirmation,
    hasConfirmation: () => latestConfirmedAtMs() !== undefined,
    freshness: (nowMs) => {
      const provedAtMs = latestConfirmedAtMs();
      if (provedAtMs === undefined) return { kind: 'stale', sinceMs: startMs };
      const endsAtMs = provedAtMs + windowMs;
      return nowMs <= endsAtMs
        ? { kind: 'fresh', provedAtMs }
        : { kind: 'stale', sinceMs: endsAtMs };
    },
  };
};
