import { randomBytes } from 'node:crypto';
import { setTimeout as sleepFor } from 'node:timers/promises';
import type * as clock from '@comfreydrum/clock';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import createHasher from 'xxhash-wasm';
import type { ConfigurationManager } from './ConfigurationStore';
import { configurationKind, createRevisionWriter } from './createRevisionWriter';
import { createFreshnessTracker } from './createFreshnessTracker';
import { createPlatformSync } from './createPlatformSync';
import { createRevisionTable } from './createRevisionTable';
import { createRevisionReplicator } from './createRevisionReplicator';
import { isAtLeastHalf } from './isAtLeastHalf';
import { storedRevisionSchema, type TeamRevision } from './TeamRevision';

/** The dependencies and settings of the configuration manager of one instance. */
export interface ConfigurationManagerOptions {
  readonly platform: objectStore.PlatformClient;
  readonly peers: Pick<peers.Peers, 'membership' | 'messageBus' | 'calls' | 'beacon'>;
  readonly clock: clock.Clock;
  readonly log: telemetry.Log;
  readonly timeline: telemetry.Timeline;
  /** Returns uniform numbers from 0 to 1, 1 excluded. */
  readonly random: () => number;
  /**
   * How long the configuration of an instance counts as up to date after the platform or the peers last
   * confirmed it.
   */
  readonly freshnessWindowMs: number;
}

/**
 * Enough to distinguish the latest changes of a team; kept short because every instance that watches the
 * platform receives the ids with each change.
 */
const applyIdBytes = 9;
const peerChecksPerWindow = 60;
/** Peers confirm freshness only if one of them reported the same digest in this part of the window. */
const agreementWindowFraction = 0.2;
/**
 * The upper bound of the random delay before an instance announces revisions that it read from the
 * platform, so that the instance that wrote them usually announces first.
 */
const maxAnnouncementDelayMs = 400;

/**
 * Creates the configuration manager of one instance; it is empty until, after its start, the first
 * revisions arrive from the platform or from peers.
 */
export const createConfigurationManager = async (
  options: ConfigurationManagerOptions,
): Promise<ConfigurationManager> => {
  const { log, timeline, random } = options;
  const { membership } = options.peers;
  const hasher = await createHasher();
  const hash = (text: string) => hasher.h64ToString(text);
  const nowMs = () => options.clock.monotonicMs();
  const table = createRevisionTable(hash);
  const freshnessTracker = createFreshnessTracker(nowMs(), options.freshnessWindowMs);
  const listeners = new Set<() => void>();
  const abort = new AbortController();

  const sleep = async (durationMs: number) => {
    await sleepFor(durationMs, undefined, { signal: abort.signal, ref: true }).catch(() => {});
  };

  const notifyListeners = () =>
    [...listeners].forEach((listener) => {
      try {
        listener();
      } catch (cause) {
        log.error({ err: cause }, 'configuration listener failed');
      }
    });

  const merge = (revision: TeamRevision): boolean => {
    const outcome = table.merge(revision);
    if (outcome === 'contradicts' || outcome === 'damaged') {
      const { team, revision: number } = revision;
      log.error(
        { team, revision: number, outcome },
        'ignored a revision that is damaged or has the number but not the content of the known one',
      );
    }
    if (outcome !== 'newer') return false;
    timeline.record('configuration in force', {
      revision: revision.revision,
      text: revision.team,
    });
    return true;
  };

  const mergeAll = (revisions: readonly TeamRevision[]): readonly TeamRevision[] => {
    const newer = revisions.filter(merge);
    if (newer.length > 0) notifyListeners();
    return newer;
  };

  const readPlatform = async (team: string) => {
    const found = await options.platform.get({ kind: configurationKind, name: team });
    const checked = found.ok ? storedRevisionSchema.safeParse(found.value.value) : undefined;
    if (checked?.success) mergeAll([{ team, ...checked.data }]);
  };

  const replicator = createRevisionReplicator({
    table,
    freshnessTracker,
    ...options.peers,
    clock: options.clock,
    hash,
    sleep,
    merge: (revision) => {
      mergeAll([revision]);
    },
    readPlatform,
  });

  const announceAfterDelay = async (revisions: readonly TeamRevision[]) => {
    await sleep(maxAnnouncementDelayMs * random());
    if (!abort.signal.aborted) revisions.forEach(replicator.announce);
  };

  const platformSync = createPlatformSync({
    client: options.platform,
    membership,
    clock: options.clock,
    freshnessTracker,
    windowMs: options.freshnessWindowMs,
    hash,
    random,
    sleep,
    onRevisions: (revisions) => {
      const newer = mergeAll(revisions);
      if (newer.length > 0) void announceAfterDelay(newer);
    },
    onInvalidObject: (name) =>
      log.error({ name }, 'ignored a platform object that is not a valid configuration'),
  });

  const writer = createRevisionWriter({
    client: options.platform,
    clock: options.clock,
    hash,
    createId: () => randomBytes(applyIdBytes).toString('base64url'),
    sleep,
    random,
    knownRevision: (team) => table.find(team)?.revision ?? 0,
    onAccepted: (revision) => {
      timeline.record('configuration accepted', {
        revision: revision.revision,
        text: revision.team,
      });
      mergeAll([revision]);
      replicator.announce(revision);
    },
  });

  /**
   * Confirms freshness when at least half of the known members are live and a peer recently reported the
   * same digest. If the platform is up and in reach, the members that watch it see every change; if
   * it is down, nothing can change. Both halves of an even split qualify, also a half that can't reach the
   * platform while the other half can. Does not wait for an outage to be detected, because a hanging call
   * can take as long as the freshness window.
   */
  const confirmByPeerAgreement = () => {
    if (!freshnessTracker.hasConfirmation()) return;
    const live = membership.members().filter(({ state }) => state === 'live');
    if (!isAtLeastHalf(live.length, membership.members().length + membership.dead().length)) return;
    const agreementAtMs = replicator.lastAgreementAtMs();
    if (
      agreementAtMs !== undefined &&
      nowMs() - agreementAtMs <= options.freshnessWindowMs * agreementWindowFraction
    ) {
      freshnessTracker.confirmByPeers(agreementAtMs);
    }
  };

  let peerCheckTimer: NodeJS.Timeout | undefined;
  let platformSyncStopped: Promise<void> = Promise.resolve();

  return {
    current: table.documents,
    revisions: () => Object.fromEntries(table.all().map(({ team, revision }) => [team, revision])),
    onChange: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    apply: writer.apply,
    remove: writer.remove,
    freshness: freshnessTracker.freshness,
    digest: table.digest,
    component: {
      name: 'configuration',
      start: () => {
        replicator.start();
        platformSyncStopped = platformSync.run(abort.signal);
        peerCheckTimer = setInterval(
          confirmByPeerAgreement,
          options.freshnessWindowMs / peerChecksPerWindow,
        );
      },
      stop: async () => {
        clearInterval(peerCheckTimer);
        replicator.stop();
        abort.abort();
        await platformSyncStopped;
      },
    },
  };
};
