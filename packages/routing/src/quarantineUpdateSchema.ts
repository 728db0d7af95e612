import * as zod from 'zod';
import type { QuarantineUpdate } from './Quarantine';

/** The schema of a target as crashes are attributed to it. */
export const crashTargetSchema = zod.object({
  targetId: zod.string(),
  generation: zod.number(),
  failureDomain: zod.string(),
});

const requestPartsSchema = zod.object({
  fingerprint: zod.string(),
  partIds: zod.array(zod.string()).readonly(),
});

/** The schema of a loss that a daemon reports to others. */
export const lossUpdateSchema = zod.object({
  kind: zod.literal('loss'),
  target: crashTargetSchema,
  fingerprints: zod.array(zod.string()).readonly(),
  requestParts: zod.array(requestPartsSchema).readonly().optional(),
  ageMs: zod.number(),
});

const clearedUpdateSchema = zod.object({
  kind: zod.literal('cleared'),
  fingerprint: zod.string(),
  targetKeys: zod.array(zod.string()).readonly(),
});

const verdictUpdateSchema = zod.object({
  kind: zod.literal('quarantined'),
  fingerprint: zod.string(),
  ageMs: zod.number(),
});

/** The schema of an update on crashes that daemons send to each other. */
export const quarantineUpdateSchema: zod.ZodType<QuarantineUpdate> = zod.discriminatedUnion(
  'kind',
  [lossUpdateSchema, clearedUpdateSchema, verdictUpdateSchema],
);
