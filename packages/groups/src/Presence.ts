import * as zod from 'zod';

/** Validates the response of a target to a presence probe. */
export const presenceSchema = zod
  .object({
    instanceId: zod.string(),
    bootId: zod.string(),
    groupId: zod.string().nullish(),
    generation: zod.number().nullish(),
    phase: zod.enum(['empty', 'loading', 'ready']).catch('empty'),
    model: zod.string().nullish(),
    version: zod.string().nullish(),
    /** Whether the target is shutting down and accepts no new requests. */
    leaving: zod.boolean().default(false),
  })
  .readonly();

export type Presence = zod.infer<typeof presenceSchema>;

/** The probe results of one instance. Times are on the watcher's monotonic clock. */
export interface Observation {
  /** When the instance was first probed. */
  readonly sinceMs: number;
  /** The last response, and when the probe for it was sent. */
  readonly response?: Presence | undefined;
  readonly respondedProbeAtMs?: number | undefined;
  /** The send time of the first failed probe since the last response. */
  readonly failedSinceMs?: number | undefined;
  /** Whether the last failure shows that no process is listening. */
  readonly gone: boolean;
}
