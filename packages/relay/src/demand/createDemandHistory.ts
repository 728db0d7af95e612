import type * as clocks from '@comfreydrum/clock';
import type { ModelWork, WorkTotals } from './createDemandCounter';

/** The work that arrived in the fleet in the last seconds, from the totals that daemons report. */
export interface DemandHistory {
  /** Adds what a run of a daemon counted since its previous report. */
  readonly applyReport: (runId: string, totals: WorkTotals) => void;
  /**
   * Returns the work by model in each of the last seconds, the latest first. The latest one ends when nearly all daemons last
   * reported, as work that isn't reported yet would seem to be less demand. Only seconds since the first work was reported are listed.
   */
  readonly latestSeconds: (
    serviceName: string,
    count: number,
  ) => readonly ReadonlyMap<string, ModelWork>[];
}

interface Report {
  readonly totals: WorkTotals;
  readonly atMs: number;
}

const bucketMs = 250;
const bucketsPerSecond = 4;
const bucketLimit = 56;
/** A daemon that has been silent for longer starts anew, since it is not known when its work arrived. */
const maxSilenceMs = 5_000;
/** Part of the daemons that have reported what arrived until the end of the latest second. */
const reportedFraction = 0.9;
/** Somewhat longer than the interval between two check-ins in the largest fleets. */
const maxLagMs = 3_000;

/** Reports whether a report arrived after a later one of the same run, whose sums are never lower. */
const isOutdated = (totals: WorkTotals, { totals: known }: Report): boolean =>
  Object.entries(known).some(([serviceName, byModel]) =>
    Object.entries(byModel).some(
      ([modelName, { requestCount }]) =>
        (totals[serviceName]?.[modelName]?.requestCount ?? 0) < requestCount,
    ),
  );

/** Creates a history without reports. */
export const createDemandHistory = (clock: clocks.Clock): DemandHistory => {
  const reports = new Map<string, Report>();
  /** Work by number of the bucket, then by service and model. */
  const buckets = new Map<number, Map<string, Map<string, ModelWork>>>();
  let startedBucket: number | undefined;
  let lastReportAtMs = -Infinity;
  let prunedAtMs = -Infinity;

  const bucketOf = (atMs: number) => Math.floor(atMs / bucketMs);

  const add = (bucket: number, serviceName: string, modelName: string, work: ModelWork) => {
    const byService = buckets.get(bucket) ?? new Map<string, Map<string, ModelWork>>();
    const byModel = byService.get(serviceName) ?? new Map<string, ModelWork>();
    const before = byModel.get(modelName) ?? { targetMs: 0, requestCount: 0 };
    byModel.set(modelName, {
      targetMs: before.targetMs + work.targetMs,
      requestCount: before.requestCount + work.requestCount,
    });
    byService.set(serviceName, byModel);
    buckets.set(bucket, byService);
  };

  const prune = (nowMs: number) => {
    if (nowMs - prunedAtMs < maxSilenceMs) return;
    prunedAtMs = nowMs;
    [...reports].forEach(([runId, { atMs }]) => {
      if (nowMs - atMs > maxSilenceMs) reports.delete(runId);
    });
    [...buckets.keys()].forEach((bucket) => {
      if (bucket < bucketOf(nowMs) - bucketLimit) buckets.delete(bucket);
    });
  };

  /** Returns for how long most of the daemons that still report have reported nothing. */
  const reportLagMs = (nowMs: number): number => {
    const agesMs = [...reports.values()]
      .map(({ atMs }) => nowMs - atMs)
      .filter((ageMs) => ageMs <= maxSilenceMs)
      .sort((one, other) => one - other);
    return Math.min(maxLagMs, agesMs[Math.floor(reportedFraction * (agesMs.length - 1))] ?? 0);
  };

  /** Spreads what arrived between two reports evenly over the time between them. */
  const spread = (serviceName: string, modelName: string, work: ModelWork, sinceMs: number) => {
    const nowMs = clock.monotonicMs();
    const first = bucketOf(sinceMs);
    startedBucket ??= first;
    for (let bucket = first; bucket <= bucketOf(nowMs); bucket += 1) {
      const startMs = Math.max(sinceMs, bucket * bucketMs);
      const endMs = Math.min(nowMs, (bucket + 1) * bucketMs);
      const fraction = nowMs > sinceMs ? (endMs - startMs) / (nowMs - sinceMs) : 1;
      add(bucket, serviceName, modelName, {
        targetMs: work.targetMs * fraction,
        requestCount: work.requestCount * fraction,
      });
    }
  };

  return {
    applyReport: (runId, totals) => {
      const nowMs = clock.monotonicMs();
      if (nowMs - lastReportAtMs > maxSilenceMs) {
        buckets.clear();
        startedBucket = undefined;
      }
      lastReportAtMs = nowMs;
      prune(nowMs);
      const before = reports.get(runId);
      if (before !== undefined && isOutdated(totals, before)) return;
      reports.set(runId, { totals: structuredClone(totals), atMs: nowMs });
      if (before === undefined || nowMs - before.atMs > maxSilenceMs) return;
      Object.entries(totals).forEach(([serviceName, byModel]) =>
        Object.entries(byModel).forEach(([modelName, work]) => {
          const known = before.totals[serviceName]?.[modelName];
          const requestCount = work.requestCount - (known?.requestCount ?? 0);
          const targetMs = work.targetMs - (known?.targetMs ?? 0);
          if (requestCount <= 0) return;
          spread(serviceName, modelName, { targetMs, requestCount }, before.atMs);
        }),
      );
    },
    latestSeconds: (serviceName, count) => {
      const nowMs = clock.monotonicMs();
      const last = bucketOf(nowMs - reportLagMs(nowMs)) - 1;
      const started = startedBucket ?? last + 1;
      const knownCount = Math.max(0, Math.floor((last - started + 1) / bucketsPerSecond));
      return Array.from({ length: Math.min(count, knownCount) }, (_, second) => {
        const sums = new Map<string, ModelWork>();
        for (let index = 0; index < bucketsPerSecond; index += 1) {
          const byModel = buckets.get(last - second * bucketsPerSecond - index)?.get(serviceName);
          byModel?.forEach((work, modelName) => {
            const sum = sums.get(modelName) ?? { targetMs: 0, requestCount: 0 };
            sums.set(modelName, {
              targetMs: sum.targetMs + work.targetMs,
              requestCount: sum.requestCount + work.requestCount,
            });
          });
        }
        return sums;
      });
    },
  };
};
