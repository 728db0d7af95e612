import * as zod from 'zod';

const address = zod.string().regex(/^[0-9.]+:\d{1,5}$/, 'expected IP:port');
const milliseconds = zod.number().int().positive();

/**
 * The schema of the settings file of a relay daemon, which serves requests on the operators'
 * platform.
 */
export const relaySettingsSchema = zod
  .strictObject({
    $schema: zod.string().optional(),
    instanceId: zod.string().min(1).max(64).describe('Name of this instance, unique in the fleet.'),
    fleet: zod.string().min(1).max(64).default('default'),
    region: zod.string().min(1),
    failureDomain: zod.string().min(1),
    ip: zod.string().min(1).describe('Source address of outgoing connections.'),
    callers: zod.strictObject({ listen: address.describe('Where callers connect.') }),
    readiness: zod.strictObject({ listen: address.describe('Where readiness is asked for.') }),
    peers: zod.strictObject({ listen: address.describe('Where other daemons call this one.') }),
    metrics: zod.strictObject({ listen: address.describe('Where metrics are read.') }),
    store: zod.strictObject({
      address,
      callTimeoutMs: milliseconds.default(900),
      readsPerSecond: zod.number().positive().describe('Of the whole fleet.'),
      writesPerSecond: zod.number().positive().describe('Of the whole fleet.'),
    }),
    targets: zod.strictObject({
      checkFencing: zod.boolean().describe('Whether targets refuse old fencing tokens.'),
    }),
    keys: zod.strictObject({
      revocationMs: milliseconds.describe('A revoked key never runs later than this.'),
    }),
    retries: zod.strictObject({
      fraction: zod.number().min(0).max(1).describe('Repeats of the fleet per first sending.'),
      reserve: zod.number().nonnegative().describe('Repeats of the fleet besides, in a window.'),
    }),
    shutdown: zod.strictObject({
      graceSeconds: zod.number().positive().describe('From SIGTERM to SIGKILL.'),
    }),
    log: zod
      .strictObject({
        level: zod.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
      })
      .default({ level: 'info' }),
  })
  .readonly();

export type RelaySettings = zod.infer<typeof relaySettingsSchema>;
