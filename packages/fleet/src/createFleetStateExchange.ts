import * as clocks from '@comfreydrum/clock';
import * as zod from 'zod';
import type { PlanTracker } from './createPlanTracker';
import type { TargetList } from './createTargetList';
import { membershipStates } from './Target';

/**
 * Exchanges the plan revision and the target list between daemons, so that the number of store
 * calls does not grow with the fleet. A daemon that receives no responses watches the store itself.
 */
export interface FleetStateExchange {
  /** Returns the request to a daemon for the changes since its last response, or since that of another one. */
  readonly createRequest: (runId: string) => Readonly<Record<string, unknown>>;
  /** Returns the response to a request of another daemon. */
  readonly createResponse: (request: unknown) => Readonly<Record<string, unknown>>;
  /** Applies the response to a request that was sent at `askedAt`. */
  readonly applyResponse: (response: unknown, askedAt: clocks.Timestamp) => void;
  /** Whether a recent request got a response. */
  readonly isFresh: () => boolean;
}

export interface FleetStateExchangeOptions {
  readonly clock: clocks.Clock;
  readonly plan: () => PlanTracker;
  readonly targets: () => TargetList;
}

/** After this long without a response a daemon watches the store itself. */
const freshnessMs = 2_000;

const cursorSchema = zod.object({ listId: zod.string(), changeCount: zod.number() });
const summarySchema = zod.object({
  era: zod.number().optional(),
  version: zod.number(),
  digests: zod.array(zod.number()),
});
const requestSchema = zod.object({
  cursor: cursorSchema.optional(),
  summary: summarySchema.optional(),
});

const targetSchema = zod.object({
  id: zod.string(),
  startedAtMs: zod.number(),
  serviceName: zod.string(),
  address: zod.string(),
  failureDomain: zod.string(),
  state: zod.enum(['live', 'leaving']),
  slots: zod.number(),
  fabricDomain: zod.string().optional(),
  stagedModels: zod.array(zod.string()),
  loadedModels: zod.array(zod.string()),
  membership: zod
    .object({
      groupName: zod.string(),
      epoch: zod.number(),
      rank: zod.number(),
      state: zod.enum(membershipStates),
    })
    .optional(),
  coldRemainingMs: zod.number().optional(),
});

const responseSchema = zod.object({
  plan: zod.object({ revision: zod.number(), ageMs: zod.number() }).optional(),
  targets: zod
    .object({
      era: zod.number().optional(),
      cursor: cursorSchema,
      ageMs: zod.number(),
      isWhole: zod.boolean(),
      difference: zod
        .object({ version: zod.number(), buckets: zod.array(zod.number()) })
        .optional(),
      changed: zod.array(zod.object({ version: zod.number(), target: targetSchema })),
      removedIds: zod.array(zod.string()),
    })
    .optional(),
});

/**
 * Sets the fields that JSON omits when they are undefined, as `Target` requires them to be present.
 */
const toTarget = (received: zod.infer<typeof targetSchema>) => ({
  ...received,
  fabricDomain: received.fabricDomain,
  membership: received.membership,
});

export const createFleetStateExchange = (
  options: FleetStateExchangeOptions,
): FleetStateExchange => {
  const { clock } = options;
  let lastRequestAt: clocks.Timestamp | undefined;

  return {
    createRequest: (runId) => {
      const cursor = options.targets().cursor();
      if (cursor?.listId === runId) return { cursor };
      return { cursor, summary: options.targets().summary() };
    },
    createResponse: (request) => {
      const parsed = requestSchema.safeParse(request);
      return {
        plan: options.plan().share(),
        targets: options.targets().share(parsed.data?.cursor, parsed.data?.summary),
      };
    },
    applyResponse: (response, askedAt) => {
      const parsed = responseSchema.safeParse(response);
      if (!parsed.success) return;
      const { plan, targets } = parsed.data;
      if (plan !== undefined) options.plan().applyShared(plan, askedAt);
      if (targets === undefined) return;
      const changed = targets.changed.map(({ version, target }) => ({
        version,
        target: toTarget(target),
      }));
      options.targets().applyShared({ ...targets, changed }, askedAt);
      lastRequestAt = askedAt;
    },
    isFresh: () =>
      lastRequestAt !== undefined && clocks.maxElapsedMs(clock, lastRequestAt) < freshnessMs,
  };
};
