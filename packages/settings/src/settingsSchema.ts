import * as zod from 'zod';
import { ledgerSettingsSchema } from './ledgerSettingsSchema';

const address = zod.string().regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'expected IP:port');
const milliseconds = zod.number().int().positive();

const tls = zod.strictObject({
  certificateFile: zod.string().min(1).describe('PEM certificate chain, leaf first.'),
  keyFile: zod.string().min(1).describe('PEM file of the private key, without passphrase.'),
});

/** The schema of the JSON settings file of a daemon. */
export const settingsSchema = zod
  .strictObject({
    $schema: zod.string().optional(),
    instanceId: zod.string().min(1).max(64).describe('Name of this instance, unique in the fleet.'),
    fleet: zod
      .string()
      .regex(
        /^[A-Za-z0-9._-]{1,64}$/,
        'expected 1 to 64 letters, digits, dots, hyphens or underscores',
      )
      .default('default')
      .describe('Name of the fleet; daemons ignore messages from other fleets.'),
    region: zod.string().min(1),
    failureDomain: zod.string().min(1),
    gateway: zod.strictObject({
      listen: address.describe('Listen address for callers, as IP:port.'),
      maxBodyBytes: zod.number().int().positive().default(4_194_304),
      maxHeaderBytes: zod.number().int().positive().default(16_384),
      maxConnections: zod.number().int().positive().default(10_000),
      maxRequestsPerConnection: zod
        .number()
        .int()
        .positive()
        .default(6)
        .describe(
          'Requests that a caller may send ahead on a connection without having its answers; a connection with more is closed.',
        ),
      headerTimeoutMs: milliseconds.default(10_000),
      bodyTimeoutMs: milliseconds.default(30_000),
      tls: tls.optional(),
    }),
    admin: zod.strictObject({
      listen: address.describe('Listen address for operators, as IP:port.'),
      tls: tls.optional(),
      tokens: zod
        .array(
          zod.strictObject({
            team: zod.string().min(1),
            tokenSha256: zod.string().regex(/^[0-9a-f]{64}$/, 'expected 64 hex digits'),
          }),
        )
        .default([])
        .describe('Operator tokens by team; an empty list allows no changes.'),
    }),
    peers: zod.strictObject({
      listen: address.describe('Listen address for other daemons, TCP and UDP, as IP:port.'),
      advertise: address
        .optional()
        .describe('Address announced to peers if it differs from the listen address.'),
      seeds: zod.array(address).default([]),
      tokenFiles: zod
        .array(zod.string().min(1))
        .max(2)
        .default([])
        .describe(
          'Files of the tokens that daemons share: the first is used to sign, all are accepted.',
        ),
      probeIntervalMs: milliseconds.default(1_000),
      probeTimeoutMs: milliseconds.default(400),
      suspicionMs: milliseconds.default(4_000),
    }),
    platform: zod.strictObject({
      url: zod.url(),
      callTimeoutMs: milliseconds.default(2_000),
      readsPerSecond: zod.number().positive().default(2_000).describe('Limit for the whole fleet.'),
      writesPerSecond: zod.number().positive().default(300).describe('Limit for the whole fleet.'),
    }),
    ledger: ledgerSettingsSchema.prefault({}),
    outbound: zod
      .strictObject({
        localAddress: zod.string().optional().describe('Source IP of outgoing connections.'),
      })
      .default({}),
    freshness: zod
      .strictObject({
        windowMs: milliseconds
          .default(15_000)
          .describe('How long without proof of freshness before readiness fails.'),
      })
      .default({ windowMs: 15_000 }),
    shutdown: zod
      .strictObject({
        noticeMs: zod
          .number()
          .int()
          .nonnegative()
          .default(3_000)
          .describe('How long callers are still accepted after readiness has failed.'),
        drainTimeoutMs: milliseconds.default(120_000),
      })
      .default({ noticeMs: 3_000, drainTimeoutMs: 120_000 }),
    log: zod
      .strictObject({
        level: zod.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
      })
      .default({ level: 'info' }),
    randomSeed: zod.number().int().optional().describe('Seed of the random choices, for tests.'),
  })
  .readonly();

export type Settings = zod.infer<typeof settingsSchema>;
