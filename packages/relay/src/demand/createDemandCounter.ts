import type * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import type { RequestSize } from '../CallerRequest';
import { estimateTargetMs } from '../cost/estimateTargetMs';
import { createRecentKeys } from '../crashes/createRecentKeys';

/** Work for one model: the predicted time of targets, and the number of requests. */
export interface ModelWork {
  readonly targetMs: number;
  readonly requestCount: number;
}

/** Work by service and model. */
export type WorkTotals = Readonly<Record<string, Readonly<Record<string, ModelWork>>>>;

/** An arrival of a request to a model. */
export interface Arrival {
  readonly service: fleet.Service;
  readonly modelName: string | undefined;
  readonly size: RequestSize | undefined;
  readonly fingerprint: string;
}

/** Counts the work that callers bring to this daemon, whatever becomes of it. */
export interface DemandCounter {
  /** Counts a request; one that comes again within a caller's usual time limit is not counted again. */
  readonly record: (arrival: Arrival) => void;
  /** Returns the work since the start. */
  readonly totals: () => WorkTotals;
}

/** Callers that are refused come back within their time limit, which is a few seconds. */
const repeatMs = 8_000;
const maxRepeatKeys = 4_096;

/** Creates a counter without arrivals. */
export const createDemandCounter = (clock: clocks.Clock): DemandCounter => {
  const counted = createRecentKeys(clock, repeatMs, maxRepeatKeys);
  const totals: Record<string, Record<string, ModelWork>> = {};

  return {
    record: ({ service, modelName, size, fingerprint }) => {
      const { engine } = service;
      const model = engine?.models.find(({ name }) => name === modelName);
      if (engine === undefined || model === undefined || counted.has(fingerprint)) return;
      const targetMs = estimateTargetMs(engine, model, size);
      if (targetMs === undefined) return;
      counted.add(fingerprint);
      const ofService = totals[service.name] ?? {};
      totals[service.name] = ofService;
      const before = ofService[model.name] ?? { targetMs: 0, requestCount: 0 };
      ofService[model.name] = {
        targetMs: before.targetMs + targetMs,
        requestCount: before.requestCount + 1,
      };
    },
    totals: () => totals,
  };
};
