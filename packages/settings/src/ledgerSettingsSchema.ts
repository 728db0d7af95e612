import * as zod from 'zod';

const durationMs = zod.number().int().positive();

const fieldsSchema = zod.strictObject({
  partitionCount: zod
    .number()
    .int()
    .min(1)
    .max(1_024)
    .default(8)
    .describe('Initial value only; ignored once a layout is stored.'),
  batchWindowMs: durationMs.default(100).describe('Shortest time between writes of a partition.'),
  batchLimit: zod.number().int().min(1).default(512).describe('Maximum operations in one write.'),
  queueLimit: zod
    .number()
    .int()
    .min(1)
    .default(4_096)
    .describe('Maximum operations waiting in the queue.'),
  claimTimeoutMs: durationMs
    .default(2_500)
    .describe('A claim without a decision after this time is refused.'),
  forwardTimeoutMs: durationMs
    .default(600)
    .describe('Timeout of a call to the owner of a partition.'),
  askTimeoutMs: durationMs.default(400).describe('Timeout of a call to the holder of a claim.'),
  grantLifetimeMs: durationMs
    .default(5_000)
    .describe('A grant that is not taken expires this long after the claim began.'),
  settleMs: durationMs
    .default(15_000)
    .describe('How long after its run limit a request may still reach its target.'),
  minWindowMs: durationMs.default(600_000).describe('Shortest time for which a key is remembered.'),
  runningRetryMs: durationMs.default(1_000),
  unknownRetryMs: durationMs.default(5_000),
  outageRetryMs: durationMs.default(1_000).describe('First delay between retries in an outage.'),
  outageRetryLimitMs: durationMs.default(15_000),
  maxAnswerBytes: zod
    .number()
    .int()
    .nonnegative()
    .max(262_144)
    .default(65_536)
    .describe('Larger responses are not kept for resends.'),
  answerRetentionMs: durationMs
    .default(900_000)
    .describe('Responses older than this may be removed.'),
  sealAtBytes: zod
    .number()
    .int()
    .min(1_024)
    .default(32_768)
    .describe('Size of the closed entries at which they are moved out of the head.'),
  maxHeadBytes: zod.number().int().min(4_096).default(524_288),
  segmentBytes: zod.number().int().min(4_096).max(1_000_000).default(900_000),
  trackedClaimLimit: zod.number().int().min(1).default(20_000),
  stopTimeoutMs: durationMs.default(5_000).describe('How long a shutdown waits for outcomes.'),
});

type LedgerFields = zod.infer<typeof fieldsSchema>;
type FieldConstraint = readonly [
  field: keyof LedgerFields,
  relation: 'less than' | 'at most',
  limit: keyof LedgerFields,
];

const constraints: readonly FieldConstraint[] = [
  ['askTimeoutMs', 'less than', 'claimTimeoutMs'],
  ['forwardTimeoutMs', 'less than', 'claimTimeoutMs'],
  ['batchLimit', 'at most', 'queueLimit'],
  ['outageRetryMs', 'at most', 'outageRetryLimitMs'],
  ['sealAtBytes', 'at most', 'maxHeadBytes'],
  ['maxHeadBytes', 'at most', 'segmentBytes'],
];

const isSatisfied = (values: LedgerFields, [field, relation, limit]: FieldConstraint): boolean =>
  relation === 'less than' ? values[field] < values[limit] : values[field] <= values[limit];

/** The schema of the ledger settings, which must be the same on every daemon of a fleet. */
export const ledgerSettingsSchema = fieldsSchema.superRefine((values, context) =>
  constraints
    .filter((constraint) => !isSatisfied(values, constraint))
    .forEach(([field, relation, limit]) => {
      const message = `expected ${relation} ${limit}, ${values[limit]}`;
      context.addIssue({ code: 'custom', path: [field], message });
    }),
);

export type LedgerSettings = Readonly<zod.infer<typeof ledgerSettingsSchema>>;
