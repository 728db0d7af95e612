import * as clocks from '@comfreydrum/clock';
import * as zod from 'zod';
import type { PlanKeeper } from './createPlanKeeper';
import type { TargetList } from './createTargetList';
import { membershipStates } from './Target';

/**
 * Exchanges the plan revision and the target list between daemons, so that the number of store
 * calls does not grow with the fleet. A daemon that receives no responses watches the store itself.
 */
export interface FleetNews {
  /** Returns the request for the changes since the last response. */
  readonly question: () => unknown;
  /** Returns the response to a request of another daemon. */
  readonly answer: (question: unknown) => unknown;
  /** Applies the response to a request that was sent at `askedAt`. */
  readonly take: (answer: unknown, askedAt: clocks.Moment) => void;
  /** Whether a recent request was answered. */
  readonly isFresh: () => boolean;
}

export interface FleetNewsOptions {
  readonly clock: clocks.Clock;
  readonly plan: () => PlanKeeper;
  readonly targets: () => TargetList;
}

/** After this long without a response a daemon watches the store itself. */
const freshMs = 2_000;

const cursorSchema = zod.object({ listId: zod.string(), changeCount: zod.number() });
const questionSchema = zod.object({ cursor: cursorSchema.optional() });

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
});

const answerSchema = zod.object({
  plan: zod.object({ revision: zod.number(), ageMs: zod.number() }).optional(),
  targets: zod
    .object({
      cursor: cursorSchema,
      ageMs: zod.number(),
      isWhole: zod.boolean(),
      changed: zod.array(zod.object({ version: zod.number(), target: targetSchema })),
      removedIds: zod.array(zod.string()),
    })
    .optional(),
});

/**
 * Sets the fields that JSON omits when they are undefined, as `Target` requires them to be present.
 */
const toTarget = (told: zod.infer<typeof targetSchema>) => ({
  ...told,
  fabricDomain: told.fabricDomain,
  membership: told.membership,
});

export const createFleetNews = (options: FleetNewsOptions): FleetNews => {
  const { clock } = options;
  let takenAt: clocks.Moment | undefined;

  return {
    question: () => ({ cursor: options.targets().cursor() }),
    answer: (question) => {
      const checked = questionSchema.safeParse(question);
      return {
        plan: options.plan().share(),
        targets: options.targets().share(checked.data?.cursor),
      };
    },
    take: (answer, askedAt) => {
      const checked = answerSchema.safeParse(answer);
      if (!checked.success) return;
      const { plan, targets } = checked.data;
      if (plan !== undefined) options.plan().takeShared(plan, askedAt);
      if (targets === undefined) return;
      const changed = targets.changed.map(({ version, target }) => ({
        version,
        target: toTarget(target),
      }));
      options.targets().takeShared({ ...targets, changed }, askedAt);
      takenAt = askedAt;
    },
    isFresh: () => takenAt !== undefined && clocks.maxElapsedMs(clock, takenAt) < freshMs,
  };
};
