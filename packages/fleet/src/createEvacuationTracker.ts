import * as clocks from '@comfreydrum/clock';
import type * as lifecycle from '@comfreydrum/lifecycle';
import * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import type { Evacuations } from './Evacuations';
import { registrationGraceMs } from './registrationGraceMs';

/** Object kind of the orders to empty failure domains; an object is named by its failure domain. */
export interface EvacuationSource {
  readonly kind: string;
}

/** All orders in force, as daemons exchange them. */
export interface SharedEvacuations {
  readonly ageMs: number;
  readonly failureDomains: readonly string[];
}

/** Tracks the orders to empty failure domains. */
export interface EvacuationTracker extends Evacuations {
  /** Returns the maximum staleness of the orders; infinite before they are known. */
  readonly ageMs: () => number;
  /** Returns the orders for another daemon; undefined before they are known. */
  readonly share: () => SharedEvacuations | undefined;
  /** Applies the orders that another daemon returned to a request sent at `askedAt`. */
  readonly applyShared: (shared: SharedEvacuations, askedAt: clocks.Timestamp) => void;
  readonly component: lifecycle.Component;
}

export interface EvacuationTrackerOptions {
  readonly client: Pick<objectStore.PlatformClient, 'list' | 'watch'>;
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly metrics: telemetry.Metrics;
  readonly source: EvacuationSource;
  readonly random: () => number;
  /** Time after an order from which its failure domain must get no request. */
  readonly evacuationMs: number;
  /** Whether this daemon provides the orders to the others. */
  readonly isHolder: () => boolean;
  /** Whether this daemon may read the store although another one may provide the orders. */
  readonly mayFollow: () => boolean;
  /** Returns the number of listed targets of a failure domain, for the log. */
  readonly countTargets: (failureDomain: string) => number;
}

/**
 * Watch timeout of the holder, as a fraction of `evacuationMs`. What it shares is at most two watches old when
 * it answers a check-in.
 */
const watchTimeoutFraction = 0.1;
/**
 * A daemon reads the store itself once what it received is older than this fraction of `evacuationMs`; the rest
 * covers a call that times out.
 */
const maxReceivedAgeFraction = 0.7;
const minIntervalMs = 100;
const maxRetryMs = 400;

/**
 * Creates a tracker that knows no orders. The later confirmation wins, so that stale answers of the store or of
 * another daemon neither end nor revive an order; while there are none, the last known orders stay in force.
 */
export const createEvacuationTracker = (options: EvacuationTrackerOptions): EvacuationTracker => {
  const { clock, log, evacuationMs } = options;
  const abort = new AbortController();
  const endedAtMs = new Map<string, number>();
  /** Content of the store as of the follower's position. */
  const stored = new Set<string>();
  let era: objectStore.Era;
  /** Until when orders that the store lost by coming back from an older copy stay in force. */
  let keptUntilMs = -Infinity;
  let ordered: ReadonlySet<string> = new Set();
  let confirmedAt: clocks.Timestamp | undefined;
  let isFailing = false;
  let followerRun: Promise<void> = Promise.resolve();

  const ageMs = () =>
    confirmedAt === undefined ? Infinity : clocks.maxElapsedMs(clock, confirmedAt);

  const recordStart = (failureDomain: string, origin: string) => {
    endedAtMs.delete(failureDomain);
    const targetCount = options.countTargets(failureDomain);
    const fields = { step: 'evacuation', failureDomain, isOrdered: true, targetCount, origin };
    if (targetCount > 0) log.info(fields, 'failure domain gets no requests from now on');
    else log.warn(fields, 'failure domain to be emptied has no listed target');
  };

  const recordEnd = (failureDomain: string, origin: string) => {
    endedAtMs.set(failureDomain, clock.monotonicMs());
    const targetCount = options.countTargets(failureDomain);
    const fields = { step: 'evacuation', failureDomain, isOrdered: false, targetCount, origin };
    log.info(fields, 'failure domain gets requests again');
  };

  const apply = (
    next: ReadonlySet<string>,
    moment: clocks.Timestamp,
    origin: 'store' | 'daemon',
  ) => {
    if (confirmedAt !== undefined && moment.monotonicMs < confirmedAt.monotonicMs) return;
    const before = ordered;
    ordered = next;
    confirmedAt = moment;
    [...next].filter((name) => !before.has(name)).forEach((name) => recordStart(name, origin));
    [...before].filter((name) => !next.has(name)).forEach((name) => recordEnd(name, origin));
  };

  const follower = objectStore.createKindFollower({
    client: options.client,
    clock,
    kind: options.source.kind,
    watchTimeoutMs: () => evacuationMs * watchTimeoutFraction,
    isEnabled: () =>
      options.isHolder() ||
      (options.mayFollow() && ageMs() > evacuationMs * maxReceivedAgeFraction),
    minIntervalMs: () => minIntervalMs,
    maxRetryMs,
    random: options.random,
    onSnapshot: (objects, snapshotEra) => {
      if (era !== undefined && snapshotEra !== undefined && snapshotEra !== era) {
        keptUntilMs = clock.monotonicMs() + registrationGraceMs;
        const fields = { step: 'evacuation', era: snapshotEra, before: era };
        log.warn(
          fields,
          'the store has come back from an older copy; orders stay in force for now',
        );
      }
      era = snapshotEra ?? era;
      stored.clear();
      objects.forEach(({ name }) => stored.add(name));
    },
    onChange: ({ changed, deletedNames }) => {
      deletedNames.forEach((name) => stored.delete(name));
      changed.forEach(({ name }) => stored.add(name));
    },
    onSynced: (moment) => {
      if (isFailing) log.info({ step: 'evacuation', peer: 'store' }, 'store is reachable again');
      isFailing = false;
      const kept = clock.monotonicMs() < keptUntilMs ? ordered : [];
      apply(new Set([...stored, ...kept]), moment, 'store');
    },
    onFailure: ({ kind, step, peer, message }) => {
      if (kind === 'expired') return;
      if (!isFailing) log.warn({ step, peer, kind, ageMs: Math.round(ageMs()) }, message);
      isFailing = true;
    },
  });

  const isKnown = () => confirmedAt !== undefined;

  options.metrics.gauge(
    'comfreydrum_evacuations',
    'Failure domains that are ordered to be emptied, as known to this daemon.',
    () => ordered.size,
  );
  options.metrics.gauge(
    'comfreydrum_evacuations_age_ms',
    'For how long the orders to empty failure domains may be out of date.',
    () => (isKnown() ? ageMs() : Infinity),
  );

  return {
    isKnown,
    isEvacuated: (failureDomain) => ordered.has(failureDomain),
    mayReceive: (failureDomain) => isKnown() && !ordered.has(failureDomain),
    endedAtMs: (failureDomain) => endedAtMs.get(failureDomain),
    ageMs,
    share: () =>
      isKnown() ? { ageMs: Math.ceil(ageMs()), failureDomains: [...ordered] } : undefined,
    applyShared: (shared, askedAt) =>
      apply(
        new Set(shared.failureDomains),
        clocks.subtractDuration(askedAt, shared.ageMs),
        'daemon',
      ),
    component: {
      name: 'evacuations',
      start: () => {
        followerRun = follower.run(abort.signal);
      },
      stop: async () => {
        abort.abort();
        await followerRun;
      },
    },
  };
};
