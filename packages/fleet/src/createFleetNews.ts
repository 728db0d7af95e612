import * as clocks from '@comfreydrum/clock';
import * as zod from 'zod';
import type { PlanKeeper } from './createPlanKeeper';
import type { TargetList } from './createTargetList';
import { membershipStates } from './Target';

/**
 * Passes what one daemon reads at the store on to the others, so that the calls to the store do not grow
 * with the fleet. A daemon that hears nothing follows the store itself.
 */
export interface FleetNews {
  /** What a daemon sends to be told what is new. */
  readonly question: () => unknown;
  /** Answers another daemon's question. */
  readonly answer: (question: unknown) => unknown;
  /** Takes an answer to a question that was asked at `askedAt`. */
  readonly take: (answer: unknown, askedAt: clocks.Moment) => void;
  /** Tells whether an answer came lately. */
  readonly isFresh: () => boolean;
}

/** What news are made of. */
export interface FleetNewsOptions {
  readonly clock: clocks.Clock;
  readonly plan: () => PlanKeeper;
  readonly targets: () => TargetList;
}

/** After this long without an answer a daemon follows the store itself. */
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

/** Fields that are undefined do not travel; the types name them all the same. */
const toTarget = (told: zod.infer<typeof targetSchema>) => ({
  ...told,
  fabricDomain: told.fabricDomain,
  membership: told.membership,
});

/** Creates the exchange of one daemon. */
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
