import * as zod from 'zod';
import { entrySchema } from './LedgerEntry';

const openEntry = entrySchema.options[0];
const { answer } = entrySchema.options[2].shape;

const claimFields = openEntry
  .pick({
    keyId: true,
    requestDigest: true,
    claimId: true,
    windowMs: true,
    holder: true,
    subject: true,
    runLimitMs: true,
  })
  .required();

const claimSchema = claimFields.extend({
  kind: zod.literal('claim'),
  supersedes: zod
    .object({ claimId: zod.string(), because: zod.enum(['never-dispatched', 'key-honoured']) })
    .readonly()
    .optional(),
});

const finishSchema = claimFields.extend({
  kind: zod.literal('finish'),
  outcome: zod.enum(['ran', 'not-run', 'unknown']),
  answer,
});

const suspectSchema = zod.object({
  kind: zod.literal('suspect'),
  keyId: zod.string(),
  claimId: zod.string(),
});

const resolveSchema = zod.object({
  kind: zod.literal('resolve'),
  keyId: zod.string(),
  claimId: zod.string(),
  outcome: zod.enum(['ran', 'not-run']),
  who: zod.string(),
});

export const operationSchema = zod.discriminatedUnion('kind', [
  claimSchema,
  finishSchema,
  suspectSchema,
  resolveSchema,
]);

/**
 * A change that a daemon requests of a partition. Operations are idempotent, so one whose response was
 * lost can be applied again.
 *
 * - `claim` requests the right to dispatch; `supersedes` names the earlier claim to
 *   replace and why that is safe.
 * - `finish` records the outcome that the holder reports for its claim.
 * - `suspect` marks a claim as unknown because its holder has left.
 * - `resolve` settles an unknown claim with the outcome that a target or an operator reports.
 */
export type LedgerOperation = Readonly<zod.infer<typeof operationSchema>>;
export type ClaimOperation = Extract<LedgerOperation, { readonly kind: 'claim' }>;
export type FinishOperation = Extract<LedgerOperation, { readonly kind: 'finish' }>;
export type ResolveOperation = Extract<LedgerOperation, { readonly kind: 'resolve' }>;

const openResult = {
  claimId: zod.string(),
  holder: openEntry.shape.holder,
};

export const operationResultSchema = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('granted') }),
  zod.object({ kind: zod.literal('claimed'), ...openResult }),
  zod.object({
    kind: zod.literal('unknown'),
    ...openResult,
    source: zod.enum(['holder', 'suspicion']),
    settlesInMs: zod.number(),
  }),
  zod.object({ kind: zod.literal('ran'), answer }),
  zod.object({ kind: zod.literal('key-reused') }),
  zod.object({ kind: zod.literal('recorded') }),
  zod.object({ kind: zod.literal('superseded') }),
  zod.object({ kind: zod.literal('too-early'), retryAfterMs: zod.number() }),
  zod.object({
    kind: zod.literal('refused'),
    cause: zod.enum(['platform-down', 'platform-busy', 'overloaded', 'too-large']),
    reason: zod.string(),
    retryAfterMs: zod.number(),
  }),
]);

/**
 * The result of an operation.
 *
 * - `granted`: the key is claimed under the claim id of the operation.
 * - `claimed`, `unknown`, `ran`, `key-reused`: an earlier claim of the key prevents a grant.
 * - `recorded`: the change is stored in the ledger.
 * - `superseded`: the key now belongs to another claim, or the claim is already settled; nothing
 *   changed.
 * - `too-early`: a target or operator reported `not-run` while the request could still be in flight.
 * - `refused`: the result is not known; the operation may still take effect later.
 */
export type OperationResult = Readonly<zod.infer<typeof operationResultSchema>>;
