import type * as fleet from '@comfreydrum/fleet';
import * as routing from '@comfreydrum/routing';
import { chooseTarget, type Candidate, type ChoiceOptions } from '../chooseTarget';
import type { RequestContext } from '../RequestContext';
import { createModelCosts, type ModelCosts } from './createModelCosts';
import { engineTimesOf } from './engineTimesOf';

/** The properties of a request that decide where it goes. */
export type PlacedRequest = Pick<RequestContext, 'request' | 'route' | 'service'>;

/** What was expected of a request when its target was chosen. */
export interface PlacementRecord {
  readonly predictedFirstEventMs: number;
  readonly candidateCount: number;
  readonly reportAgeMs: number;
}

/** Whether a request can start, and what it and the places that it needs are expected to take. */
export interface DispatchForecast {
  readonly hasPlace: boolean;
  /** Free places at all targets. */
  readonly freePlaceCount: number;
  /** This daemon's part of the requests in progress. */
  readonly ownShare: number;
  /** Mean time of the reports on which this rests. */
  readonly reportedAtMs: number;
  /** Time for which the request holds a place at a full target. */
  readonly holdMs: number;
  /** Time to its first event there. */
  readonly firstEventMs: number;
  readonly room: routing.WaitRoom;
}

/** Follows one run of a request at its target, so that later predictions improve. */
export interface PlacedRun {
  /** Records an event; `gapMs` is undefined for the first one of the run. */
  readonly onEvent: (gapMs: number | undefined, nowMs: number) => void;
  readonly onEnd: (isComplete: boolean, nowMs: number) => void;
}

/** Chooses targets by what requests are expected to cost and by what the targets have left to do. */
export interface Placing {
  readonly choose: (
    placed: PlacedRequest,
    candidates: readonly Candidate[],
    options: ChoiceOptions,
  ) => Candidate | undefined;
  /** Returns what is expected of a request that isn't sent yet; undefined where `choose` knows no costs. */
  readonly forecast: (
    placed: PlacedRequest,
    candidates: readonly Candidate[],
    nowMs: number,
  ) => DispatchForecast | undefined;
  /** Returns what was expected at the latest choice for a request. */
  readonly recordOf: (request: RequestContext['request']) => PlacementRecord | undefined;
  readonly start: (placed: PlacedRequest, candidate: Candidate, nowMs: number) => PlacedRun;
}

export interface PlacingOptions {
  /** Returns the mean age of what is known of the other daemons' requests. */
  readonly otherLoadsAgeMs: () => number;
  /** Receives the ratio of a first event's time to its prediction. */
  readonly onPrediction?: (routeName: string, ratio: number) => void;
}

/** Reports count as at least this old, since they were under way. */
const minReportAgeMs = 20;
/** Reports that are older, in mean durations of a request, say nothing more than these. */
const maxReportAgeDurations = 4;
const untracked: PlacedRun = { onEvent: () => {}, onEnd: () => {} };

/** Creates a placing that has seen no requests. */
export const createPlacing = (options: PlacingOptions): Placing => {
  /** By names of service and model; only models of the configuration have an entry. */
  const costsByModel = new Map<string, ModelCosts>();
  const work = routing.createTargetWork();
  const records = new WeakMap<RequestContext['request'], PlacementRecord>();
  let usualOutputTokens: number | undefined;
  const outputs = routing.createOutputEstimates({ usualTokens: () => usualOutputTokens });
  let runCount = 0;

  const costsOf = (service: fleet.Service, modelName: string): ModelCosts => {
    const key = `${service.name} ${modelName}`;
    const known = costsByModel.get(key);
    if (known !== undefined) return known;
    const costs = service.engine?.costs;
    const created = createModelCosts({
      promptTokens: costs?.usualPromptTokens,
      outputTokens: costs?.usualOutputTokens,
    });
    costsByModel.set(key, created);
    return created;
  };

  const claimOf = ({ request, route }: PlacedRequest): routing.OutputClaim => ({
    kind: `${route.name} ${request.modelName}`,
    hintTokens: request.size?.expectedOutputTokens,
    maxTokens: request.size?.maxOutputTokens,
  });

  /** Returns the engine and the expected cost of a request; undefined where the costs aren't configured. */
  const predict = (placed: PlacedRequest, nowMs: number) => {
    const { request, service } = placed;
    const engine = engineTimesOf(service, request.modelName);
    if (engine === undefined || request.modelName === undefined) return undefined;
    const { usualPromptTokens, ...costs } = service.engine!.costs!;
    usualOutputTokens = costs.usualOutputTokens;
    const model = costsOf(service, request.modelName);
    const promptTokens = request.size?.promptTokens ?? usualPromptTokens;
    const cost = routing.predictRequestCost(engine, {
      promptTokens: promptTokens ?? engine.promptTokensPerPass,
      outputTokens: outputs.estimate(claimOf(placed), nowMs),
    });
    return { engine, model, cost };
  };

  /** Places a request; returns undefined where its costs aren't configured or no target serves it. */
  const place = (
    placed: PlacedRequest,
    candidates: readonly Candidate[],
    { nowMs, random }: ChoiceOptions,
  ) => {
    const predicted = predict(placed, nowMs);
    if (predicted === undefined || candidates.some(({ isDaemon }) => isDaemon)) return undefined;
    const { engine, model, cost } = predicted;
    const available = candidates.filter(({ stats }) => stats.avoidUntilMs <= nowMs);
    const considered = available.length > 0 ? available : candidates;
    const { latencyTargetMs, gapTargetMs } = placed.route;
    const meanDurationMs = model.meanDurationMs(engine);
    const reportAgeMs = Math.min(
      meanDurationMs * maxReportAgeDurations,
      Math.max(minReportAgeMs, options.otherLoadsAgeMs()),
    );
    const placement = routing.placeRequest(
      considered.map((candidate) => ({
        isSameDomain: candidate.isSameDomain,
        ownCount: candidate.stats.inFlight,
        otherCount: candidate.otherInFlight,
        unreadPromptMs: work.remainingAt(candidate.key).unreadPromptMs,
        slowness: model.passes.slownessOf(candidate.key, nowMs),
        failureRate: candidate.stats.failureRate,
      })),
      {
        engine,
        cost,
        mean: model.mean(engine),
        meanDurationMs,
        latencyTargetMs,
        gapTargetMs,
        reportAgeMs,
      },
      random,
    );
    return placement && { ...predicted, placement, considered, meanDurationMs, reportAgeMs };
  };

  const choose: Placing['choose'] = (placed, candidates, choice) => {
    const result = place(placed, candidates, choice);
    if (result === undefined) return chooseTarget(candidates, choice);
    const { placement, considered, model, reportAgeMs } = result;
    records.set(placed.request, {
      predictedFirstEventMs: placement.firstEventMs * model.firstEvents.calibration(),
      candidateCount: considered.length,
      reportAgeMs,
    });
    return { ...considered[placement.index]!, hasPlace: placement.hasPlace };
  };

  const forecast: Placing['forecast'] = (placed, candidates, nowMs) => {
    const result = place(placed, candidates, { nowMs, random: () => 0 });
    if (result === undefined) return undefined;
    const { engine, model, cost, placement, considered, meanDurationMs, reportAgeMs } = result;
    const mean = model.mean(engine);
    const maxBatch = routing.maxBatchOf(engine, mean, placed.route.gapTargetMs);
    const ownCount = considered.reduce((sum, { stats }) => sum + stats.inFlight, 0);
    const otherCount = considered.reduce((sum, { otherInFlight }) => sum + otherInFlight, 0);
    const ownShare = otherCount === 0 ? 1 : ownCount / (ownCount + otherCount);
    const holdMs = routing.durationMsAt(engine, mean, cost, maxBatch - 1);
    return {
      hasPlace: placement.hasPlace,
      freePlaceCount: placement.freePlaceCount,
      ownShare,
      reportedAtMs: nowMs - reportAgeMs,
      holdMs: holdMs * model.passes.calibration(),
      firstEventMs:
        routing.firstEventMsAt(engine, mean, cost, maxBatch - 1) * model.firstEvents.calibration(),
      room: {
        placeCount: Math.max(1, ownShare * maxBatch * considered.length),
        meanHoldMs: meanDurationMs,
      },
    };
  };

  const start: Placing['start'] = (placed, candidate, sentAtMs) => {
    const predicted = predict(placed, sentAtMs);
    if (predicted === undefined || candidate.isDaemon) return untracked;
    const { engine, model, cost } = predicted;
    const claim = claimOf(placed);
    const record = records.get(placed.request);
    // A stream that resumes generates only a part of its output.
    const isWhole = placed.request.lastEventId === undefined;
    runCount += 1;
    const runId = runCount;
    const { key, otherInFlight } = candidate;
    model.onRequest(cost);
    work.onSend(key, runId, cost);
    let eventCount = 0;

    const expectedPassMs = () =>
      routing.passMsAt(
        engine,
        model.mean(engine),
        work.remainingAt(key).requestCount + otherInFlight,
      );

    const onFirstEvent = (nowMs: number) => {
      if (record === undefined) return;
      const ratio = (nowMs - sentAtMs) / record.predictedFirstEventMs;
      options.onPrediction?.(placed.route.name, ratio);
      const uncalibratedMs = record.predictedFirstEventMs / model.firstEvents.calibration();
      model.firstEvents.onSample(key, uncalibratedMs, nowMs - sentAtMs, nowMs);
    };

    return {
      onEvent: (gapMs, nowMs) => {
        eventCount += 1;
        work.onEvent(key, runId, engine.stepsPerEvent);
        if (eventCount === 1) onFirstEvent(nowMs);
        if (gapMs !== undefined) model.passes.onSample(key, expectedPassMs(), gapMs, nowMs);
      },
      onEnd: (isComplete, nowMs) => {
        work.onEnd(key, runId);
        if (!isComplete || !isWhole || eventCount === 0) return;
        outputs.onEnd(claim, eventCount * engine.stepsPerEvent, nowMs);
        model.onEnd(eventCount, nowMs - sentAtMs);
      },
    };
  };

  return { choose, forecast, recordOf: (request) => records.get(request), start };
};
