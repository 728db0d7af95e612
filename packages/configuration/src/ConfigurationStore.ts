import type * as lifecycle from '@comfreydrum/lifecycle';
import type { Configuration } from './configurationSchema';

/** Whether the configuration of this instance is confirmed to be in force; times are monotonic. */
export type Freshness =
  | { readonly kind: 'fresh'; readonly provedAtMs: number }
  | { readonly kind: 'stale'; readonly sinceMs: number };

/**
 * The result of an apply.
 *
 * - `accepted`: the revision is written and will come into force on every instance.
 * - `checked`: a dry run; an apply would write `revision`, and `current` is in force now.
 * - `conflict`: nothing was written; `winnerRevision` is in force, 0 when the team has none.
 * - `invalid`: nothing was written; the message has one line per validation error.
 * - `unavailable`: the platform did not respond; `written` is `unknown` if the write may still take
 *   effect.
 */
export type ApplyResult =
  | { readonly kind: 'accepted'; readonly team: string; readonly revision: number }
  | {
      readonly kind: 'checked';
      readonly team: string;
      readonly revision: number;
      readonly current: Configuration | undefined;
    }
  | { readonly kind: 'conflict'; readonly team: string; readonly winnerRevision: number }
  | { readonly kind: 'invalid'; readonly message: string }
  | {
      readonly kind: 'unavailable';
      readonly message: string;
      readonly written: 'no' | 'unknown';
      readonly retryAfterMs: number;
    };

/** The revision that the caller expects to be in force; `none` when the team has no configuration. */
export type ExpectedRevision = number | 'none';

export interface ApplyOptions {
  readonly dryRun?: boolean;
}

/** Read access to the configuration in force on this instance. */
export interface ConfigurationStore {
  /** Returns the configuration in force of each team, sorted by team name. */
  readonly current: () => readonly Configuration[];
  /** Returns the revision in force of each team; a removed team keeps the revision of its removal. */
  readonly revisions: () => Readonly<Record<string, number>>;
  /** Calls `listener` after each change; returns a function that unsubscribes. */
  readonly onChange: (listener: () => void) => () => void;
}

/** The configuration store of one daemon, including the operations for operators and readiness checks. */
export interface ConfigurationManager extends ConfigurationStore {
  /** Validates a document and writes it as the next revision of its team. */
  readonly apply: (
    document: unknown,
    expectedRevision: ExpectedRevision,
    options?: ApplyOptions,
  ) => Promise<ApplyResult>;
  /** Removes the configuration of a team; the removal is written as a new revision. */
  readonly remove: (team: string, expectedRevision: ExpectedRevision) => Promise<ApplyResult>;
  /** Returns whether the configuration of this instance is confirmed to be in force. */
  readonly freshness: (nowMs: number) => Freshness;
  /** Returns a digest over the revisions of all teams; instances with equal revisions return the same. */
  readonly digest: () => string;
  readonly component: lifecycle.Component;
}
