import * as clocks from '@comfreydrum/clock';
import type * as errors from '@comfreydrum/errors';
import type * as lifecycle from '@comfreydrum/lifecycle';
import * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import type { TrafficPlan } from './TrafficPlan';

/** Key of the plan in the store, and the decoder of its value. */
export interface PlanSource {
  readonly key: objectStore.ObjectKey;
  readonly decode: (value: unknown) => errors.Result<TrafficPlan>;
}

/** The plan revision of a daemon, with an upper bound on its staleness. */
export interface SharedPlan {
  readonly revision: number;
  readonly ageMs: number;
}

/** How a daemon knows that its plan is in force: it watched the store, read it, or heard it of another daemon. */
export type PlanConfirmation = 'watch' | 'read' | 'daemon';

/** Tracks the traffic plan in force. */
export interface PlanTracker {
  /** Returns the latest plan that was read; undefined before the first. */
  readonly current: () => TrafficPlan | undefined;
  /**
   * Returns the maximum staleness of the plan; infinite until it is first confirmed to be in force.
   */
  readonly ageMs: () => number;
  /** Returns where the confirmation comes from by which the plan is `ageMs` old; undefined before the first. */
  readonly confirmedBy: () => PlanConfirmation | undefined;
  /**
   * Returns the revision with which another daemon can confirm that its plan is in force; undefined
   * without a plan, or if the last value that was read is invalid.
   */
  readonly share: () => SharedPlan | undefined;
  /**
   * Applies the revision that another daemon returned to a request sent at `askedAt`. Reads the
   * plan from the store if the other daemon has a newer one.
   */
  readonly applyShared: (shared: SharedPlan, askedAt: clocks.Timestamp) => void;
  /** Learns that another daemon has a plan of this revision. */
  readonly announce: (revision: number) => void;
  /**
   * Returns the plan that was in force at most `maxAgeMs` ago and to which no other daemon has named
   * a newer one. It may be newer than the current one of before the call; undefined if reading the
   * store does not confirm one.
   */
  readonly confirmPlan: (maxAgeMs: number) => Promise<TrafficPlan | undefined>;
  readonly component: lifecycle.Component;
}

export interface PlanTrackerOptions {
  readonly client: objectStore.PlatformClient;
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly metrics: telemetry.Metrics;
  readonly source: PlanSource;
  readonly random: () => number;
  /** Time after a change of the plan from which it must be in force. */
  readonly inForceMs: number;
  /** Whether this daemon confirms the plan to the others. */
  readonly isHolder: () => boolean;
  /** Whether this daemon may read the store although another one may confirm the plan. */
  readonly mayFollow: () => boolean;
}

/**
 * A daemon reads the store itself once the confirmation that it received is older than this fraction of `inForceMs`;
 * the rest covers a call that fails, and its repetition.
 */
const maxReceivedAgeFraction = 0.6;
/** The holder's confirmation is at most two watches old when it answers a check-in. */
const watchTimeoutMs = 300;
const maxRetryMs = 400;
/** Interval after a read that confirmed nothing, so that requests which need one do not become calls each. */
const minReadIntervalMs = 200;

/**
 * Creates a tracker without a plan. A plan with a lower revision than the current one is ignored. A
 * value that can't be decoded leaves the last valid plan in place, but its staleness keeps growing.
 */
export const createPlanTracker = (options: PlanTrackerOptions): PlanTracker => {
  const { client, clock, log, source } = options;
  const abort = new AbortController();
  let plan: TrafficPlan | undefined;
  let confirmedAt: clocks.Timestamp | undefined;
  let confirmedBy: PlanConfirmation | undefined;
  let isReadable = false;
  let pendingRead: Promise<void> | undefined;
  let unconfirmedReadAtMs = -Infinity;
  let isFailing = false;
  let followerRun: Promise<void> = Promise.resolve();
  /** A newer revision that another daemon has, until the store has been read since then. */
  let announced: { readonly revision: number; readonly atMs: number } | undefined;
  const readCounts = { confirmed: 0, unconfirmed: 0 };

  const ageMs = () =>
    confirmedAt === undefined ? Infinity : clocks.maxElapsedMs(clock, confirmedAt);

  const applyObject = (
    { value, version }: objectStore.StoredObject,
    origin: 'list' | 'watch' | 'read',
  ) => {
    const decoded = source.decode(value);
    isReadable = decoded.ok;
    if (!decoded.ok) {
      const { step, peer, message } = decoded.error;
      log.error({ step, peer, version, keptRevision: plan?.revision }, message);
      return;
    }
    const next = decoded.value;
    if (plan !== undefined && next.revision <= plan.revision) return;
    log.info(
      { step: 'plan', revision: next.revision, before: plan?.revision, ageMs: ageMs(), origin },
      'traffic plan in force',
    );
    plan = next;
  };

  const isOutdated = () =>
    announced !== undefined && announced.revision > (plan?.revision ?? -Infinity);

  const isConfirmed = (maxAgeMs: number) => !isOutdated() && ageMs() <= maxAgeMs;

  const confirm = (moment: clocks.Timestamp, by: PlanConfirmation) => {
    if (!isReadable) return;
    if (announced !== undefined && moment.monotonicMs >= announced.atMs) announced = undefined;
    if (isFailing) log.info({ step: 'plan', peer: 'store' }, 'store is reachable again');
    isFailing = false;
    if (confirmedAt !== undefined && moment.monotonicMs < confirmedAt.monotonicMs) return;
    confirmedAt = moment;
    confirmedBy = by;
  };

  const recordFailure = (failure: objectStore.PlatformFailure) => {
    if (!isFailing) {
      const { kind, step, peer, message } = failure;
      log.warn({ step, peer, kind, planAgeMs: Math.round(ageMs()) }, message);
    }
    isFailing = true;
  };

  const isPlan = ({ name }: objectStore.StoredObject) => name === source.key.name;

  const follower = objectStore.createKindFollower({
    client,
    clock,
    kind: source.key.kind,
    watchTimeoutMs: () => watchTimeoutMs,
    isEnabled: () =>
      options.isHolder() ||
      (options.mayFollow() && ageMs() > options.inForceMs * maxReceivedAgeFraction),
    minIntervalMs: () => 0,
    maxRetryMs,
    random: options.random,
    onSnapshot: (objects) =>
      objects.filter(isPlan).forEach((object) => applyObject(object, 'list')),
    onChange: (batch) =>
      batch.changed.filter(isPlan).forEach((object) => applyObject(object, 'watch')),
    onSynced: (moment) => confirm(moment, 'watch'),
    onFailure: recordFailure,
  });

  const readPlan = async (): Promise<void> => {
    const askedAt = clocks.readTimestamp(clock);
    const result = await client.get(source.key, 'safety');
    if (result.ok) {
      applyObject(result.value, 'read');
      confirm(askedAt, 'read');
    } else recordFailure(result.error);
    const isPlanConfirmed = result.ok && isReadable;
    readCounts[isPlanConfirmed ? 'confirmed' : 'unconfirmed'] += 1;
    if (!isPlanConfirmed) unconfirmedReadAtMs = clock.monotonicMs();
  };

  const readPlanOnce = (): Promise<void> => {
    if (clock.monotonicMs() - unconfirmedReadAtMs < minReadIntervalMs) return Promise.resolve();
    pendingRead ??= readPlan().finally(() => {
      pendingRead = undefined;
    });
    return pendingRead;
  };

  const announce = (revision: number) => {
    if (plan !== undefined && revision <= plan.revision) return;
    if (announced !== undefined && announced.revision >= revision) return;
    announced = { revision, atMs: clock.monotonicMs() };
    const fields = { step: 'plan', revision, before: plan?.revision, ageMs: Math.round(ageMs()) };
    log.info(fields, 'another daemon has a newer traffic plan');
  };

  options.metrics.gauge(
    'comfreydrum_plan_age_ms',
    'For how long the traffic plan may be out of date.',
    ageMs,
  );
  options.metrics.gauge(
    'comfreydrum_plan_revision',
    'Revision of the traffic plan of this daemon.',
    () => plan?.revision ?? 0,
  );
  options.metrics.sampledCounters(
    'comfreydrum_plan_reads_total',
    'Reads of the traffic plan beside watching it, by whether they confirmed it.',
    'outcome',
    () => readCounts,
  );

  return {
    current: () => plan,
    ageMs,
    confirmedBy: () => confirmedBy,
    share: () =>
      plan === undefined || !isReadable ? undefined : { revision: plan.revision, ageMs: ageMs() },
    applyShared: (shared, askedAt) => {
      if (plan === undefined || shared.revision > plan.revision) {
        announce(shared.revision);
        void readPlanOnce();
        return;
      }
      if (shared.revision < plan.revision) return;
      confirm(clocks.subtractDuration(askedAt, shared.ageMs), 'daemon');
    },
    announce,
    confirmPlan: async (maxAgeMs) => {
      if (!isConfirmed(maxAgeMs)) await readPlanOnce();
      return isConfirmed(maxAgeMs) ? plan : undefined;
    },
    component: {
      name: 'traffic plan',
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
