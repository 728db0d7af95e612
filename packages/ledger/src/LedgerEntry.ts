import * as zod from 'zod';

const holderSchema = zod.object({ instanceId: zod.string(), incarnation: zod.string() }).readonly();

const subjectSchema = zod
  .object({
    team: zod.string(),
    customer: zod.string(),
    caller: zod.string(),
    routeName: zod.string(),
    key: zod.string(),
  })
  .readonly();

const answerSchema = zod
  .object({ statusCode: zod.number(), contentType: zod.string(), bodyBase64: zod.string() })
  .readonly();

const commonFields = {
  keyId: zod.string(),
  requestDigest: zod.string(),
  claimId: zod.string(),
  claimedAtMs: zod.number(),
  windowMs: zod.number(),
};

const openFields = {
  ...commonFields,
  holder: holderSchema,
  subject: subjectSchema,
  runLimitMs: zod.number(),
};

export const entrySchema = zod.discriminatedUnion('state', [
  zod.object({ ...openFields, state: zod.literal('claimed') }),
  zod.object({
    ...openFields,
    state: zod.literal('unknown'),
    source: zod.enum(['holder', 'suspicion']),
    unknownAtMs: zod.number(),
  }),
  zod.object({
    ...commonFields,
    state: zod.literal('ran'),
    answer: answerSchema.optional(),
    resolvedBy: zod.string().optional(),
  }),
  zod.object({
    ...commonFields,
    state: zod.literal('abandoned'),
    resolvedBy: zod.string().optional(),
  }),
]);

/** One incarnation of a daemon; a restarted daemon is a different holder. */
export type Holder = zod.infer<typeof holderSchema>;

/** The request fields behind a key id, in a form that operators can read. */
export type Subject = zod.infer<typeof subjectSchema>;

/**
 * The ledger's record of one key. Times are readings of the partition's own clock.
 *
 * - `claimed`: only `holder` may dispatch the request, and may already have done so.
 * - `unknown`: it is not known whether the request ran. `source` is `holder` if the holder reported
 *   this and `suspicion` if another daemon found that the holder has left.
 * - `ran`: the request ran.
 * - `abandoned`: the request did not run and cannot run under this claim.
 */
export type LedgerEntry = Readonly<zod.infer<typeof entrySchema>>;

/** A claim that is not settled yet. */
export type OpenEntry = Extract<LedgerEntry, { readonly state: 'claimed' | 'unknown' }>;

/** Reports whether the window of an entry has passed at `clockMs` of the partition's clock. */
export const isExpired = (entry: LedgerEntry, clockMs: number): boolean =>
  clockMs - entry.claimedAtMs > entry.windowMs;
