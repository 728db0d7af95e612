import * as zod from 'zod';

const name = zod
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'expected lower-case letters, digits, . or -');
const durationMs = zod.number().int().positive();
const fraction = zod.number().min(0).max(1);

const targetKindSchema = zod.strictObject({
  name,
  protocol: zod.enum(['engine', 'service']),
  fencing: zod
    .enum(['checked', 'ignored'])
    .default('ignored')
    .describe('Whether targets reject orders with an outdated fencing token.'),
  honoursIdempotencyKey: zod
    .boolean()
    .default(false)
    .describe('Whether targets deduplicate requests by Idempotency-Key themselves.'),
});

const placementSchema = zod.strictObject({
  downtimeWeight: fraction.default(0.5).describe('Weight of group downtime.'),
  strandedWeight: fraction.default(0.5).describe('Weight of stranded accelerators.'),
});

const modelSchema = zod.strictObject({
  name,
  version: zod.string().min(1),
  adapters: zod.array(zod.string().min(1)).default([]),
  targetKind: name,
  groups: zod.number().int().min(0).describe('How many groups serve the model.'),
  instancesPerGroup: zod.number().int().min(1).max(64),
  failureDomains: zod
    .array(name)
    .default([])
    .describe('Where groups may run; empty means anywhere.'),
  maySpanFabricDomains: zod.boolean().default(false),
  value: zod
    .number()
    .positive()
    .default(1)
    .describe('Value of one group relative to groups of other models.'),
  maxConcurrentPerGroup: zod.number().int().min(1).default(64),
  loadTimeMs: durationMs.default(60_000).describe('How long a group takes to load.'),
  weightBytes: zod
    .number()
    .positive()
    .optional()
    .describe('Bytes that a group loads from the weight store; if omitted, the group loads alone.'),
  placement: placementSchema.default({ downtimeWeight: 0.5, strandedWeight: 0.5 }),
});

const serviceSchema = zod.strictObject({
  name,
  targetKind: name,
  maxConcurrentPerTarget: zod.number().int().min(1).default(32),
});

const customerSchema = zod.strictObject({
  name,
  weight: zod.number().positive().default(1),
  tokensSha256: zod
    .array(zod.string().regex(/^[0-9a-f]{64}$/, 'expected 64 hex digits'))
    .min(1)
    .describe("SHA-256 digests of the customer's tokens."),
  requestsPerSecond: zod.number().positive().optional(),
  maxConcurrent: zod.number().int().positive().optional(),
});

const commonRouteFields = {
  name,
  method: zod.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']).default('POST'),
  path: zod.string().startsWith('/').describe('Exact path, or a prefix when it ends with /*.'),
  priority: zod.enum(['interactive', 'batch']).default('interactive'),
  deadlineMs: durationMs.default(60_000),
};

const modelRouteSchema = zod.strictObject({
  ...commonRouteFields,
  kind: zod.literal('model'),
  firstTokenTargetMs: durationMs.default(1_100),
  betweenTokensTargetMs: durationMs.default(52),
});

const idempotencySchema = zod.strictObject({
  key: zod
    .enum(['header', 'body-digest'])
    .describe(
      'Whether requests are identified by their Idempotency-Key or by a digest of the body.',
    ),
  windowMs: durationMs.default(86_400_000).describe('How long a key is remembered.'),
  keptAnswerBytes: zod.number().int().nonnegative().default(65_536),
  lookupPath: zod
    .string()
    .startsWith('/')
    .optional()
    .describe('GET path on the target; {key} stands for the key. 200: ran, 404: did not run.'),
});

const serviceRouteSchema = zod.strictObject({
  ...commonRouteFields,
  kind: zod.literal('service'),
  service: name,
  idempotent: zod.boolean().describe('Whether a request may safely run twice.'),
  idempotency: idempotencySchema.optional().describe('Required when the route is not idempotent.'),
  cacheMs: zod
    .number()
    .int()
    .nonnegative()
    .default(0)
    .describe('How long a response may be served again to the same caller.'),
});

const routeSchema = zod.discriminatedUnion('kind', [modelRouteSchema, serviceRouteSchema]);

/** The configuration of one team, applied as a whole. */
export const configurationSchema = zod
  .strictObject({
    $schema: zod.string().optional(),
    team: name,
    failureDomains: zod.array(zod.strictObject({ name, region: name })),
    targetKinds: zod.array(targetKindSchema),
    models: zod.array(modelSchema).default([]),
    services: zod.array(serviceSchema).default([]),
    customers: zod.array(customerSchema).default([]),
    routes: zod.array(routeSchema).default([]),
    retryBudgetFraction: fraction.default(0.1).describe('Retries allowed per first attempt.'),
    weightStoreBytesPerSecond: zod
      .number()
      .positive()
      .optional()
      .describe('Total read rate of concurrent loads from the weight store.'),
  })
  .readonly();

export type Configuration = zod.infer<typeof configurationSchema>;
export type TargetKind = Readonly<zod.infer<typeof targetKindSchema>>;
export type Model = Readonly<zod.infer<typeof modelSchema>>;
export type Service = Readonly<zod.infer<typeof serviceSchema>>;
export type Customer = Readonly<zod.infer<typeof customerSchema>>;
export type ModelRoute = Readonly<zod.infer<typeof modelRouteSchema>>;
export type ServiceRoute = Readonly<zod.infer<typeof serviceRouteSchema>>;
export type Idempotency = Readonly<zod.infer<typeof idempotencySchema>>;
export type Route = ModelRoute | ServiceRoute;
