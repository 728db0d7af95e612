import type * as clock from '@comfreydrum/clock';
import * as routing from '@comfreydrum/routing';
import * as zod from 'zod';
import type { Caller } from './createCallerDirectory';
import type { FleetLink } from './FleetLink';
import { createRefusal, type Refusal } from './Refusal';

/** Holds customers to their limits, which all daemons share. */
export interface CustomerShares {
  /** Counts a request of a caller; gives its refusal when its customer is over a limit. */
  readonly tryStart: (caller: Caller) => Refusal | undefined;
  /** Ends a request that was not refused. */
  readonly end: (caller: Caller) => void;
  readonly start: () => void;
  readonly stop: () => void;
}

const publishEveryMs = 1_000;
/** How many customers fit into one item of news. */
const customersPerItem = 8;

const demandsSchema = zod.object({ demands: zod.record(zod.string(), zod.number()) }).readonly();
const newsSchema = zod.object({ rates: demandsSchema, concurrency: demandsSchema }).readonly();

const nameOf = ({ team, customer }: Caller) => `${team.team}/${customer.name}`;

const limitTexts = {
  'requests-per-second': 'requests a second',
  'max-concurrent': 'requests at once',
} as const;

const pick = (news: routing.CustomerDemandUpdate['rates'], names: ReadonlySet<string>) => ({
  demands: Object.fromEntries(Object.entries(news.demands).filter(([name]) => names.has(name))),
});

/** Cuts news into items that are small enough to publish. */
const split = (news: routing.CustomerDemandUpdate): readonly routing.CustomerDemandUpdate[] => {
  const names = Object.keys({ ...news.rates.demands, ...news.concurrency.demands });
  const itemCount = Math.max(1, Math.ceil(names.length / customersPerItem));
  return Array.from({ length: itemCount }, (_, item) => {
    const own = new Set(names.slice(item * customersPerItem, (item + 1) * customersPerItem));
    return { rates: pick(news.rates, own), concurrency: pick(news.concurrency, own) };
  });
};

/** Creates the shares of a daemon; they follow the demand on the others once started. */
export const createCustomerShares = (link: FleetLink, daemonClock: clock.Clock): CustomerShares => {
  const limiter = routing.createCustomerLimiter();
  const nowMs = () => daemonClock.monotonicMs();
  let publishing: NodeJS.Timeout | undefined;

  const publish = () => {
    limiter.setLiveCount(link.liveIds().length, nowMs());
    const news = limiter.takeUpdate(nowMs());
    if (news === undefined) return;
    split(news).forEach((item, index) =>
      link.publish('demand', `customers/${index}`, item, routing.defaultUpdateLifetimeMs),
    );
  };

  const stopNews = link.onNews('demand', ({ key, origin, value, remainingMs }) => {
    const news = newsSchema.safeParse(value).data;
    if (news) limiter.onUpdate(`${origin}/${key}`, news, remainingMs, nowMs());
  });

  return {
    tryStart: (caller) => {
      const { requestsPerSecond, maxConcurrent } = caller.customer;
      const decision = limiter.tryStart(
        nameOf(caller),
        { requestsPerSecond, maxConcurrent },
        nowMs(),
      );
      if (decision.kind === 'within') return undefined;
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
      publishing = setInterval(publish, publishEveryMs);
    },
    stop: () => {
      clearInterval(publishing);
      stopNews();
    },
  };
};
