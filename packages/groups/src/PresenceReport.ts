import * as zod from 'zod';

/** The reasons for a loss in presence reports. Sent by index, so the order must not change. */
export const lossReasons = [
  'gone',
  'restarted',
  'reassigned',
  'leaving',
  'silent',
  'reported',
] as const;

/** Group id, generation, and milliseconds since its members were probed. */
export type PresentGroup = readonly [groupId: string, generation: number, ageMs: number];

/** Group id, generation, milliseconds since the loss was detected, and the reason. */
export type LostGroup = readonly [
  groupId: string,
  generation: number,
  ageMs: number,
  reason: (typeof lossReasons)[number],
];

/** A report by one watcher on the groups and instances of a fabric domain. */
export interface PresenceReport {
  /** The process run of the watcher, and its monotonic clock at the time of publication. */
  readonly sender: string;
  readonly sentAtMs: number;
  readonly present: readonly PresentGroup[];
  readonly lost: readonly LostGroup[];
  /** Instances that do not respond to probes. */
  readonly absent: readonly string[];
  /** Instances that are leaving, by their own response or by the platform's target list. */
  readonly leaving: readonly string[];
}

const tagsSchema = zod.string().describe('Concatenated tags.');
const presentBucketSchema = zod.tuple([zod.number(), tagsSchema]).readonly();
const lostBucketSchema = zod
  .tuple([
    zod
      .number()
      .int()
      .min(0)
      .max(lossReasons.length - 1),
    zod.number(),
    tagsSchema,
  ])
  .readonly();

/**
 * Validates one encoded part of a report: ids are tags, and groups of similar age share a bucket.
 */
export const reportRowSchema = zod
  .tuple([
    /** The sender's tag, and its monotonic clock in whole milliseconds. */
    zod.string(),
    zod.number(),
    zod.array(presentBucketSchema).readonly(),
    zod.array(lostBucketSchema).readonly(),
    /** Absent instances, followed by leaving instances. */
    tagsSchema,
    tagsSchema,
  ])
  .readonly();

export type ReportRow = zod.infer<typeof reportRowSchema>;

/** How long a presence report is valid after publication. */
export const presenceReportLifetimeMs = 3_000;
