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
    callers: zod.strictObject({
      listen: address.describe('Listen address for callers.'),
      maxRequestsPerConnection: zod
        .number()
        .int()
        .positive()
        .default(6)
        .describe(
          'Requests that a caller may send ahead on a connection without having its answers; a connection with more is closed.',
        ),
    }),
    readiness: zod.strictObject({
      listen: address.describe('Listen address of the readiness endpoint.'),
    }),
    peers: zod.strictObject({ listen: address.describe('Listen address for other daemons.') }),
    metrics: zod.strictObject({
      listen: address.describe('Listen address of the metrics endpoint.'),
    }),
    store: zod.strictObject({
      address,
      callTimeoutMs: milliseconds.default(900),
      readsPerSecond: zod.number().positive().describe('Limit for the whole fleet.'),
      writesPerSecond: zod.number().positive().describe('Limit for the whole fleet.'),
      isFirstStart: zod
        .boolean()
        .default(true)
        .describe(
          'Whether the fleet starts for the first time, so that the store has no record of it.',
        ),
    }),
    targets: zod.strictObject({
      checkFencing: zod
        .boolean()
        .describe('Whether targets reject orders with an outdated fencing token.'),
      drainMs: milliseconds
        .optional()
        .describe('A target that says it is leaving is sent nothing later than this.'),
      coldStart: zod
        .strictObject({
          overshoot: zod
            .number()
            .positive()
            .describe('Requests to a cold target in one second, as a multiple of its rate.'),
          slack: zod
            .number()
            .nonnegative()
            .describe('Additional requests to a cold target in one second.'),
        })
        .optional()
        .describe('Bounds on the requests to a cold target, fleet-wide.'),
    }),
    failureDomains: zod
      .strictObject({
        evacuationMs: milliseconds.describe(
          'Targets of a failure domain are sent nothing later than this after its evacuation was ordered.',
        ),
      })
      .optional(),
    plan: zod
      .strictObject({
        inForceMs: milliseconds.describe(
          'A traffic plan is in force at every instance this long after the store has accepted it.',
        ),
      })
      .default({ inForceMs: 2_000 }),
    keys: zod.strictObject({
      revocationMs: milliseconds.describe(
        'A revoked key is never used later than this after its revocation.',
      ),
    }),
    retries: zod.strictObject({
      fraction: zod
        .number()
        .min(0)
        .max(1)
        .describe('Retries per first attempt at a service, fleet-wide.'),
      reserve: zod
        .number()
        .nonnegative()
        .describe('Additional retries at a service in any period, fleet-wide.'),
    }),
    memory: zod
      .strictObject({
        processMb: zod.number().int().positive().describe('Memory that the process may take.'),
      })
      .default({ processMb: 350 }),
    processor: zod
      .strictObject({
        cores: zod.number().positive().describe('Processor cores of the machine.'),
        share: zod.number().positive().default(1).describe('Usable fraction of each of them.'),
      })
      .default({ cores: 1, share: 1 }),
    descriptors: zod
      .strictObject({
        processMax: zod
          .number()
          .int()
          .min(200)
          .describe(
            'File descriptors that the process may have open; callers get six tenths of them.',
          ),
      })
      .default({ processMax: 4_096 }),
    shutdown: zod.strictObject({
      graceSeconds: zod.number().positive().describe('Time between SIGTERM and SIGKILL.'),
    }),
    log: zod
      .strictObject({
        level: zod.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
      })
      .default({ level: 'info' }),
  })
  .readonly();

export type RelaySettings = zod.infer<typeof relaySettingsSchema>;
