import type * as routing from '@comfreydrum/routing';
import * as zod from 'zod';

const targetSchema = zod.object({
  targetId: zod.string(),
  generation: zod.number(),
  failureDomain: zod.string(),
});

const lossSchema = zod.object({
  kind: zod.literal('loss'),
  target: targetSchema,
  fingerprints: zod.array(zod.string()).readonly(),
  ageMs: zod.number(),
});

const clearedSchema = zod.object({
  kind: zod.literal('cleared'),
  fingerprint: zod.string(),
  targetKeys: zod.array(zod.string()).readonly(),
});

const newsSchema = zod.discriminatedUnion('kind', [lossSchema, clearedSchema]);

const permitRequestSchema = zod.object({
  fingerprint: zod.string(),
  requestId: zod.string(),
  target: targetSchema,
  holderId: zod.string(),
  /** The losses that the asking daemon knows of, so that both judge alike. */
  losses: zod.array(lossSchema).readonly(),
});

/** Asks the keeper of the permits whether a suspect may run. */
export type PermitQuestion = Readonly<zod.infer<typeof permitRequestSchema>>;

const permitAnswerSchema = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('granted'), leaseMs: zod.number() }),
  zod.object({
    kind: zod.literal('wait'),
    retryAfterMs: zod.number(),
    busy: zod.enum(['fingerprint', 'target', 'handover']),
  }),
  zod.object({ kind: zod.literal('quarantined'), losses: zod.array(lossSchema).readonly() }),
]);

/** The keeper's answer. */
export type PermitAnswer = Readonly<zod.infer<typeof permitAnswerSchema>>;

/** Reads news of a crash; undefined when it is not one. */
export const readQuarantineNews = (value: unknown): routing.QuarantineUpdate | undefined =>
  newsSchema.safeParse(value).data;

/** Reads a question for a permit; throws when it is not one, which the caller hears. */
export const readPermitQuestion = (value: unknown): PermitQuestion =>
  permitRequestSchema.parse(value);

/** Reads the keeper's answer; undefined when there was none. */
export const readPermitAnswer = (value: unknown): PermitAnswer | undefined =>
  permitAnswerSchema.safeParse(value).data;

/** Reads the id of a request that a permit was given for. */
export const readRequestId = (value: unknown): string => zod.string().parse(value);
