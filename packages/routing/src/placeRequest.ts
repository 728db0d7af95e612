import type { EngineTimes } from './EngineTimes';
import { costAt, fillLevels, type FillCurve } from './fillLevels';
import {
  maxBatchOf,
  passesToFirstEvent,
  passMsAt,
  passMsPerRequest,
  type MeanCost,
  type RequestCost,
} from './predictRequestCost';

/** A target that may take a request, and what is known of its load. */
export interface PlacementCandidate {
  readonly isSameDomain: boolean;
  /** Requests of this daemon in progress. */
  readonly ownCount: number;
  /** Requests of the other daemons, by their latest reports. */
  readonly otherCount: number;
  /** Time to read the prompts of the requests of this daemon that have produced nothing yet. */
  readonly unreadPromptMs: number;
  /** Factor by which the target is slower than others. */
  readonly slowness: number;
  /** Fraction of failed requests. */
  readonly failureRate: number;
}

/** A request to place and what is known of the others. */
export interface PlacementRequest {
  readonly engine: EngineTimes;
  readonly cost: RequestCost;
  readonly mean: MeanCost;
  /** Mean time that requests stay at a target. */
  readonly meanDurationMs: number;
  readonly latencyTargetMs: number;
  readonly gapTargetMs: number | undefined;
  /** Mean age of the reports of the other daemons. */
  readonly reportAgeMs: number;
}

/** The target of a request. */
export interface Placement {
  readonly index: number;
  /** Time until the first event of the request that its target is expected to need. */
  readonly firstEventMs: number;
  /** Whether the target has a free place once the arrivals since the reports are placed. */
  readonly hasPlace: boolean;
  /** Places that are free at all targets then. */
  readonly freePlaceCount: number;
}

/** Fraction of the latency target by which another failure domain must be faster. */
const crossDomainMargin = 0.15;
/** The shares of a fill are found by bisection, so they may be this much too large. */
const fillTolerance = 0.01;
/**
 * Part of the uncertainty of its count by which a target may be expected to have requests beyond its batch: where
 * none waits at the target, a place that comes free stays empty until it is reported.
 */
const overcommitFraction = 0.4;
/** Latency targets that a failure rate of 1 costs. */
const failurePenalty = 4;

interface LoadedCandidate {
  readonly candidate: PlacementCandidate;
  readonly curve: FillCurve;
}

/** Returns the fraction of the reported requests that are still in progress. */
const survivingFractionOf = ({ reportAgeMs, meanDurationMs }: PlacementRequest): number =>
  Math.exp(-reportAgeMs / meanDurationMs);

/**
 * Returns the time to the first event of a request at a target as a function of the number of requests there. Beyond
 * the batch each one also waits until a place is free; uncertainty in the count makes that likely a little earlier.
 */
const curveOf = (
  request: PlacementRequest,
  candidate: PlacementCandidate,
  maxBatch: number,
): FillCurve => {
  const { engine, mean, cost } = request;
  const { slowness, ownCount, otherCount } = candidate;
  const survivingFraction = survivingFractionOf(request);
  const uncertainty = Math.sqrt(otherCount * (1 - survivingFraction ** 2));
  const readMs = cost.promptMs + candidate.unreadPromptMs;
  const idleMs = passMsAt(engine, mean, 0) * passesToFirstEvent + readMs;
  return {
    count: ownCount + otherCount * survivingFraction,
    baseCost: idleMs * slowness + candidate.failureRate * failurePenalty * request.latencyTargetMs,
    costPerRequest: passMsPerRequest(engine, mean) * passesToFirstEvent * slowness,
    knee: Math.max(0, maxBatch - uncertainty),
    costPerRequestBeyond: (request.meanDurationMs / maxBatch) * slowness,
  };
};

const sumOtherCounts = (loaded: readonly LoadedCandidate[]): number =>
  loaded.reduce((sum, { candidate }) => sum + candidate.otherCount, 0);

const raise = (loaded: readonly LoadedCandidate[], added: readonly number[]) =>
  loaded.map(({ candidate, curve }, index) => ({
    candidate,
    curve: { ...curve, count: curve.count + added[index]! },
  }));

const draw = (weights: readonly number[], fraction: number): number => {
  let remaining = fraction * weights.reduce((sum, weight) => sum + weight, 0);
  const drawn = weights.findIndex((weight) => {
    remaining -= weight;
    return remaining < 0;
  });
  return drawn >= 0 ? drawn : weights.findLastIndex((weight) => weight > 0);
};

/**
 * Selects the target of a request by the time to its first event, under reports that are about as old as a request is
 * long. What has arrived elsewhere since then is assumed to have gone where this daemon would have sent it, so the
 * targets that are behind get more until all are level, and no single one gets all. The requests of other failure
 * domains are placed in those first; this one leaves its domain only where another is faster by a margin.
 *
 * Answers many daemons that each send few requests of uneven size to targets of uneven speed.
 */
export const placeRequest = (
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  random: () => number,
): Placement | undefined => {
  if (candidates.length === 0) return undefined;
  const maxBatch = maxBatchOf(request.engine, request.mean, request.gapTargetMs);
  const loaded = candidates.map((candidate) => ({
    candidate,
    curve: curveOf(request, candidate, maxBatch),
  }));
  const local = loaded.filter(({ candidate }) => candidate.isSameDomain);
  const remote = loaded.filter(({ candidate }) => !candidate.isSameDomain);
  // As many have arrived since the reports, and are still there, as have ended.
  const arrivalsPerCount = 1 - survivingFractionOf(request);
  const remoteArrivals = sumOtherCounts(remote) * arrivalsPerCount;
  const filledRemote =
    local.length > 0 && remote.length > 0
      ? raise(
          remote,
          fillLevels(
            remote.map(({ curve }) => curve),
            remoteArrivals,
          ).added,
        )
      : remote;
  const marginMs = request.latencyTargetMs * crossDomainMargin;
  const considered = [
    ...local,
    ...filledRemote.map(({ candidate, curve }) => ({
      candidate,
      curve: { ...curve, baseCost: curve.baseCost + (local.length > 0 ? marginMs : 0) },
    })),
  ];
  const arrivals = sumOtherCounts(local.length > 0 ? local : remote) * arrivalsPerCount;
  const curves = considered.map(({ curve }) => curve);
  const { added } = fillLevels(curves, arrivals + 1);
  const hasPlace = (position: number) => {
    const { count, knee } = curves[position]!;
    const uncertainty = maxBatch - knee;
    const limit = maxBatch + uncertainty * overcommitFraction + fillTolerance;
    return count + added[position]! <= limit;
  };
  const withPlace = added.map((count, position) => (hasPlace(position) ? count : 0));
  const isFull = withPlace.every((count) => count === 0);
  const position = draw(isFull ? added : withPlace, random());
  const drawn = considered[position];
  if (drawn === undefined) return undefined;
  const index = candidates.indexOf(drawn.candidate);
  const { curve } = loaded[index]!;
  return {
    index,
    firstEventMs: costAt(curve, curve.count),
    hasPlace: !isFull,
    freePlaceCount: curves.reduce(
      (sum, { count }, other) => sum + Math.max(0, maxBatch - count - added[other]!),
      0,
    ),
  };
};
