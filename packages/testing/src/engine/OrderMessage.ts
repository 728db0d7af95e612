import * as zod from 'zod';

/** Validates an order to an engine. */
export const orderSchema = zod.object({
  order: zod.enum(['load', 'release', 'role']),
  groupId: zod.string(),
  generation: zod.number().int(),
  model: zod.string().default(''),
  version: zod.string().default(''),
  adapters: zod.array(zod.string()).default([]),
  rank: zod.number().int().nonnegative().default(0),
  members: zod.array(zod.object({ instanceId: zod.string(), url: zod.string() })).default([]),
  leaderUrl: zod.string().default(''),
});

export type OrderMessage = Readonly<zod.infer<typeof orderSchema>>;

/** Validates the state that an engine reports about itself. */
export const presenceSchema = zod.object({
  instanceId: zod.string(),
  bootId: zod.string(),
  groupId: zod.string(),
  generation: zod.number(),
  phase: zod.enum(['empty', 'loading', 'ready']),
  model: zod.string(),
  version: zod.string(),
});

export type Presence = Readonly<zod.infer<typeof presenceSchema>>;
