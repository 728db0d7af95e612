import type * as clocks from '@comfreydrum/clock';
import * as zod from 'zod';
import type { DemandCounter, WorkTotals } from './createDemandCounter';
import { createDemandHistory, type DemandHistory } from './createDemandHistory';

/** Reports the work that arrives at this daemon to the lease holder, which sums it over the fleet. */
export interface DemandExchange {
  readonly createRequest: () => Readonly<Record<string, unknown>>;
  /** Records the report of a daemon that checks in; one without it is ignored. */
  readonly recordRequest: (request: unknown) => void;
  /** Returns the work by model in each of the last seconds, the latest first, as the lease holder knows it. */
  readonly latestSeconds: DemandHistory['latestSeconds'];
}

export interface DemandExchangeOptions {
  readonly clock: clocks.Clock;
  /** Identifies this run of this daemon. */
  readonly runId: string;
  readonly counter: DemandCounter;
}

const countSchema = zod.number().nonnegative();
/** Sums since the start of a run, so that a check-in that is lost or repeated changes nothing. */
const requestSchema = zod.object({
  demand: zod.object({
    runId: zod.string(),
    /** The time of targets in ms and the number of requests, by service and model. */
    totals: zod.record(
      zod.string(),
      zod.record(zod.string(), zod.tuple([countSchema, countSchema])),
    ),
  }),
});

const mapModels = <From, To>(
  totals: Readonly<Record<string, Readonly<Record<string, From>>>>,
  convert: (work: From) => To,
): Record<string, Record<string, To>> =>
  Object.fromEntries(
    Object.entries(totals).map(([serviceName, byModel]) => [
      serviceName,
      Object.fromEntries(
        Object.entries(byModel).map(([modelName, work]) => [modelName, convert(work)]),
      ),
    ]),
  );

/** Creates an exchange of what a counter counts. */
export const createDemandExchange = ({
  clock,
  runId,
  counter,
}: DemandExchangeOptions): DemandExchange => {
  const history = createDemandHistory(clock);
  return {
    createRequest: () => ({
      demand: {
        runId,
        totals: mapModels(counter.totals(), ({ targetMs, requestCount }) => [
          Math.round(targetMs),
          requestCount,
        ]),
      },
    }),
    recordRequest: (request) => {
      const checked = requestSchema.safeParse(request);
      if (!checked.success) return;
      const { demand } = checked.data;
      const totals: WorkTotals = mapModels(demand.totals, ([targetMs, requestCount]) => ({
        targetMs,
        requestCount,
      }));
      history.applyReport(demand.runId, totals);
    },
    latestSeconds: (serviceName, count) => {
      history.applyReport(runId, counter.totals());
      return history.latestSeconds(serviceName, count);
    },
  };
};
