import * as routing from '@comfreydrum/routing';
import * as zod from 'zod';

const permitRequestSchema = zod.object({
  fingerprint: zod.string(),
  requestId: zod.string(),
  target: routing.crashTargetSchema,
  holderId: zod.string(),
  /** The losses that the requesting daemon knows of, so that both daemons evaluate the same losses. */
  losses: zod.array(routing.lossUpdateSchema).readonly(),
});

/** A request to the permit coordinator to run a suspect on a target. */
export type PermitRequest = Readonly<zod.infer<typeof permitRequestSchema>>;

const permitResponseSchema = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('granted'), leaseMs: zod.number() }),
  zod.object({
    kind: zod.literal('wait'),
    retryAfterMs: zod.number(),
    busy: zod.enum(['fingerprint', 'target', 'handover']),
  }),
  zod.object({
    kind: zod.literal('quarantined'),
    losses: zod.array(routing.lossUpdateSchema).readonly(),
  }),
]);

/** The response of the permit coordinator. */
export type PermitResponse = Readonly<zod.infer<typeof permitResponseSchema>>;

/** Reads a quarantine update; returns undefined if the value is not valid. */
export const readQuarantineUpdate = (value: unknown): routing.QuarantineUpdate | undefined =>
  routing.quarantineUpdateSchema.safeParse(value).data;

/** Reads a permit request; throws if the value is not valid, and the calling daemon receives the error. */
export const readPermitRequest = (value: unknown): PermitRequest =>
  permitRequestSchema.parse(value);

/** Reads a permit response; returns undefined if there was none or it is not valid. */
export const readPermitResponse = (value: unknown): PermitResponse | undefined =>
  permitResponseSchema.safeParse(value).data;

/** Reads the id of a run that holds a permit. */
export const readRequestId = (value: unknown): string => zod.string().parse(value);
