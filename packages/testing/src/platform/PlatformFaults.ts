import * as zod from 'zod';

const lossSchema = zod.object({
  count: zod.number().int().nonnegative(),
  methods: zod.array(zod.string()).default(['PUT', 'DELETE']),
  kinds: zod.array(zod.string()).optional(),
});

/** Faults of the platform stand-in; a field that an update leaves out keeps its value. */
export const platformFaultsSchema = zod.object({
  outage: zod
    .enum(['refuse', 'hang', 'none'])
    .optional()
    .describe('Answers 503, or accepts calls and never answers.'),
  loseAnswers: lossSchema
    .optional()
    .describe('Closes the connection of the next writes after they took effect.'),
  lateWrites: lossSchema
    .extend({ afterMs: zod.number().nonnegative() })
    .optional()
    .describe('Closes the connection of the next writes, which take effect later.'),
  delayMs: zod.number().nonnegative().optional(),
  instanceLagMs: zod.number().nonnegative().optional(),
});

export type PlatformFaults = Readonly<zod.infer<typeof platformFaultsSchema>>;
export type LossFault = Readonly<zod.infer<typeof lossSchema>>;
