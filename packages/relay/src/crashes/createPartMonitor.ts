import type * as clocks from '@comfreydrum/clock';
import * as routing from '@comfreydrum/routing';
import type * as telemetry from '@comfreydrum/telemetry';
import { createRecentKeys } from './createRecentKeys';
import { partKeyOf } from './partKey';

type RequestParts = readonly routing.RequestParts[];

/** Finds the parts of prompts that crash targets, and quarantines them. */
export interface PartMonitor {
  /** Returns the status of the worst of some parts. */
  readonly check: (partIds: readonly string[]) => routing.PartStatus;
  /** Records a loss that this daemon has detected, and returns what other daemons must know of its parts. */
  readonly onOwnLoss: (update: routing.LossUpdate) => RequestParts;
  /** Records a loss that another daemon has reported, and reports the parts that have completed here. */
  readonly onReportedLoss: (update: routing.LossUpdate) => void;
  /** Records that a request has completed whose prompt has these parts, which may be none that others share. */
  readonly onCompleted: (partIds: readonly string[], sentAtMs: number) => void;
  readonly onCleared: (partId: string, targetKeys: readonly string[]) => void;
  readonly onVerdict: (partId: string, ageMs: number) => void;
  /** Quarantines those of the parts that by now are known to crash targets. */
  readonly review: (requestParts: RequestParts) => void;
  /** Returns when the parts that are quarantined were, by their id. */
  readonly verdictsAtMs: () => ReadonlyMap<string, number>;
}

/** Dependencies of the monitor. */
export interface PartMonitorOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly lifetimeMs: number;
  readonly sameLossMs: number;
  readonly publish: (update: routing.QuarantineUpdate) => void;
}

/**
 * A part that has completed within this time is not suspected of a loss. Short, because a part that completes may
 * begin to crash targets; long enough for the parts of many requests when several targets end at once.
 */
const completionValidityMs = 2_000;
/** Minimum time between two reports of this daemon that a part has completed. */
const reportIntervalMs = 250;
const maxRecentParts = 4_096;
const maxReportedRequests = 256;

/** Creates a monitor without recorded losses. */
export const createPartMonitor = (options: PartMonitorOptions): PartMonitor => {
  const { clock, log, lifetimeMs, sameLossMs, publish } = options;
  const quarantine = routing.createPartQuarantine({ lifetimeMs, sameLossMs });
  const completed = createRecentKeys(clock, completionValidityMs, maxRecentParts);
  const reported = createRecentKeys(clock, reportIntervalMs, maxRecentParts);
  const verdictAtMs = new Map<string, number>();

  /** Returns the status of a part, and makes a new verdict known to the other daemons. */
  const check = (partId: string): routing.PartStatus => {
    const nowMs = clock.monotonicMs();
    const status = quarantine.check(partId, nowMs);
    if (status.kind !== 'quarantined') verdictAtMs.delete(partId);
    if (status.kind !== 'quarantined' || verdictAtMs.has(partId)) return status;
    const targetIds = quarantine.lostTargetIdsOf(partId);
    log.warn(
      { step: 'quarantine', partId, targetIds },
      'quarantined a part of prompts that crashes targets',
    );
    verdictAtMs.set(partId, nowMs);
    publish({ kind: 'quarantined', fingerprint: partKeyOf(partId), ageMs: 0 });
    return status;
  };

  const clear = (partId: string, sentAtMs: number) => {
    // A part that stays suspected meanwhile is cleared by its next completed run.
    if (reported.has(partId)) return;
    const targetKeys = quarantine.onCompleted(partId, sentAtMs);
    if (targetKeys === undefined) return;
    reported.add(partId);
    const wasQuarantined = verdictAtMs.delete(partId);
    const fields = { step: 'quarantine', partId, wasQuarantined };
    if (wasQuarantined) log.warn(fields, 'cleared a quarantined part of prompts that completed');
    else log.debug(fields, 'cleared a suspect part of prompts that completed');
    publish({ kind: 'cleared', fingerprint: partKeyOf(partId), targetKeys });
  };

  const review = (requestParts: RequestParts) =>
    requestParts.forEach(({ partIds }) => partIds.forEach(check));

  return {
    check: (partIds) => {
      const statuses = partIds.map(check);
      return (
        statuses.find(({ kind }) => kind === 'quarantined') ??
        statuses.find(({ kind }) => kind === 'held') ??
        statuses.find(({ kind }) => kind === 'suspect') ?? { kind: 'clear' }
      );
    },
    onOwnLoss: (update) => {
      const requestParts = (update.requestParts ?? [])
        .map(({ fingerprint, partIds }) => ({
          fingerprint,
          partIds: partIds.filter((partId) => !completed.has(partId)),
        }))
        .filter(({ partIds }) => partIds.length > 0)
        .slice(0, maxReportedRequests);
      quarantine.onLoss({ ...update, requestParts }, clock.monotonicMs());
      return requestParts;
    },
    onReportedLoss: (update) => {
      const { requestParts = [] } = update;
      const nowMs = clock.monotonicMs();
      quarantine.onLoss(update, nowMs);
      new Set(requestParts.flatMap(({ partIds }) => partIds)).forEach((partId) => {
        if (completed.has(partId)) clear(partId, nowMs);
      });
      review(requestParts);
    },
    onCompleted: (partIds, sentAtMs) => {
      quarantine.onRequestCompleted(partIds, clock.monotonicMs());
      partIds.forEach((partId) => {
        completed.add(partId);
        clear(partId, sentAtMs);
      });
    },
    onCleared: (partId, targetKeys) => {
      verdictAtMs.delete(partId);
      quarantine.onCleared(partId, targetKeys);
    },
    onVerdict: (partId, ageMs) => {
      const nowMs = clock.monotonicMs();
      verdictAtMs.set(partId, nowMs - ageMs);
      quarantine.onVerdict(partId, ageMs, nowMs);
    },
    review,
    verdictsAtMs: () => {
      const nowMs = clock.monotonicMs();
      verdictAtMs.forEach((atMs, partId) => {
        if (nowMs - atMs >= lifetimeMs) verdictAtMs.delete(partId);
      });
      return verdictAtMs;
    },
  };
};
