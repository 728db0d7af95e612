import type * as clock from '@comfreydrum/clock';
import * as routing from '@comfreydrum/routing';
import * as zod from 'zod';
import type { Caller } from './createCallerDirectory';
import type { FleetLink } from './FleetLink';
import { createRefusal, type Refusal } from './Refusal';

/** Enforces the limits of customers, which apply to all daemons together. */
export interface CustomerLimits {
  /** Counts a request of a caller. Returns a refusal if its customer is over a limit. */
  readonly tryStart: (caller: Caller) => Refusal | undefined;
  /** Records the end of a request that was not refused. */
  readonly end: (caller: Caller) => void;
  readonly start: () => void;
  readonly stop: () => void;
}

const publishIntervalMs = 1_000;
/** The number of customers that fit into one published update. */
const maxCustomersPerUpdate = 8;

const demandsSchema = zod.object({ demands: zod.record(zod.string(), zod.number()) }).readonly();
const updateSchema = zod.object({ rates: demandsSchema, concurrency: demandsSchema }).readonly();

const nameOf = ({ team, customer }: Caller) => `${team.team}/${customer.name}`;

const limitTexts = {
  'requests-per-second': 'requests a second',
  'max-concurrent': 'requests at once',
} as const;

const selectCustomers = (
  source: routing.CustomerDemandUpdate['rates'],
  names: ReadonlySet<string>,
) => ({
  demands: Object.fromEntries(Object.entries(source.demands).filter(([name]) => names.has(name))),
});

/** Splits an update into parts that are small enough to publish. */
const splitUpdate = (
  update: routing.CustomerDemandUpdate,
): readonly routing.CustomerDemandUpdate[] => {
  const names = Object.keys({ ...update.rates.demands, ...update.concurrency.demands });
  const partCount = Math.max(1, Math.ceil(names.length / maxCustomersPerUpdate));
  return Array.from({ length: partCount }, (_, part) => {
    const own = new Set(
      names.slice(part * maxCustomersPerUpdate, (part + 1) * maxCustomersPerUpdate),
    );
    return {
      rates: selectCustomers(update.rates, own),
      concurrency: selectCustomers(update.concurrency, own),
    };
  });
};

/** Creates the customer limits of a daemon. Once started, it publishes its demand to the other daemons. */
export const createCustomerLimits = (link: FleetLink, daemonClock: clock.Clock): CustomerLimits => {
  const limiter = routing.createCustomerLimiter();
  const nowMs = () => daemonClock.monotonicMs();
  let publishTimer: NodeJS.Timeout | undefined;

  const publish = () => {
    limiter.setLiveCount(link.liveIds().length, nowMs());
    const update = limiter.takeUpdate(nowMs());
    if (update === undefined) return;
    splitUpdate(update).forEach((part, index) =>
      link.publish('demand', `customers/${index}`, part, routing.defaultUpdateLifetimeMs),
    );
  };

  const unsubscribe = link.onUpdate('demand', ({ key, origin, value, remainingMs }) => {
    const update = updateSchema.safeParse(value).data;
    if (update) limiter.onUpdate(`${origin}/${key}`, update, remainingMs, nowMs());
  });

  return {
    tryStart: (caller) => {
      const { requestsPerSecond, maxConcurrent } = caller.customer;
      const decision = limiter.tryStart(
        nameOf(caller),
        { requestsPerSecond, maxConcurrent },
        nowMs(),
      );
      if (decision.kind === 'allowed') return undefined;
      return createRefusal({
        step: 'limit',
        statusCode: 429,
        code: 'customer_limit',
        message: `customer "${caller.customer.name}" has used its ${limitTexts[decision.limit]}`,
        retryAfterMs: decision.retryAfterMs,
      });
    },
    end: (caller) => limiter.end(nameOf(caller)),
    start: () => {
      publishTimer = setInterval(publish, publishIntervalMs);
    },
    stop: () => {
      clearInterval(publishTimer);
      unsubscribe();
    },
  };
};
