import type * as clocks from '@comfreydrum/clock';
import type { NamedLimit } from './NamedLimit';

/** The limit of a target as one daemon tells it to another. */
export interface SharedLimit {
  readonly targetKey: string;
  /** Null once the target names no limit any more. */
  readonly perSecond: number | null;
  /** Time since the answer that shows it. */
  readonly ageMs: number;
}

/** What an answer of a target shows of its limit. */
export interface LimitObservation {
  readonly targetKey: string;
  readonly named: NamedLimit;
  readonly isSuccess: boolean;
  readonly sentAtMs: number;
}

/** Limits and the position in the table up to which they have been shared. */
export interface LimitChanges {
  readonly limits: readonly SharedLimit[];
  readonly version: number;
}

/** The limits that targets have named to this daemon or to others. */
export interface LimitTable {
  /** Returns the requests per second that a target accepts from all daemons; undefined without a limit. */
  readonly limitOf: (targetKey: string) => number | undefined;
  readonly onAnswer: (observation: LimitObservation) => void;
  /** Returns the limits that have changed, or were confirmed, since a version of the table. */
  readonly changesSince: (version: number) => LimitChanges;
  readonly applyShared: (limits: readonly SharedLimit[]) => void;
}

export interface LimitTableOptions {
  readonly clock: clocks.Clock;
  readonly onChange: (targetKey: string, perSecond: number | undefined) => void;
}

interface Entry {
  readonly perSecond: number | undefined;
  readonly observedAtMs: number;
  /** When the observation was last made available to other daemons. */
  readonly sharedAtMs: number;
  readonly version: number;
}

/** Interval at which an unchanged limit is shared again, so that it does not expire at other daemons. */
const refreshIntervalMs = 5_000;
/** Targets without an answer for this long are removed. */
const retentionMs = 60_000;
const maxSharedLimits = 256;

/** Creates a table without limits. */
export const createLimitTable = ({ clock, onChange }: LimitTableOptions): LimitTable => {
  /** In the order of their versions. */
  const entries = new Map<string, Entry>();
  let version = 0;

  const pruneExpired = () => {
    const nowMs = clock.monotonicMs();
    [...entries]
      .filter(([, { observedAtMs }]) => nowMs - observedAtMs > retentionMs)
      .forEach(([targetKey]) => entries.delete(targetKey));
  };

  const record = (targetKey: string, perSecond: number | undefined, observedAtMs: number) => {
    const known = entries.get(targetKey);
    if (known === undefined && perSecond === undefined) return;
    if (known !== undefined && observedAtMs <= known.observedAtMs) return;
    const isChanged = known?.perSecond !== perSecond;
    if (known !== undefined && !isChanged && observedAtMs - known.sharedAtMs < refreshIntervalMs) {
      entries.set(targetKey, { ...known, observedAtMs });
      return;
    }
    pruneExpired();
    version += 1;
    entries.delete(targetKey);
    entries.set(targetKey, { perSecond, observedAtMs, sharedAtMs: observedAtMs, version });
    if (isChanged) onChange(targetKey, perSecond);
  };

  return {
    limitOf: (targetKey) => entries.get(targetKey)?.perSecond,
    onAnswer: ({ targetKey, named, isSuccess, sentAtMs }) => {
      if (named.kind === 'limit') record(targetKey, named.perSecond, clock.monotonicMs());
      // Only an answer to a request that was sent after the limit was last named shows that it has ended.
      else if (named.kind === 'none' && isSuccess) record(targetKey, undefined, sentAtMs);
    },
    changesSince: (since) => {
      const nowMs = clock.monotonicMs();
      const changed = [...entries]
        .filter(([, entry]) => entry.version > since)
        .slice(0, maxSharedLimits);
      return {
        limits: changed.map(([targetKey, { perSecond = null, observedAtMs }]) => ({
          targetKey,
          perSecond,
          ageMs: Math.round(nowMs - observedAtMs),
        })),
        version: changed.at(-1)?.[1].version ?? since,
      };
    },
    applyShared: (limits) => {
      const nowMs = clock.monotonicMs();
      limits.forEach(({ targetKey, perSecond, ageMs }) =>
        record(targetKey, perSecond ?? undefined, nowMs - ageMs),
      );
    },
  };
};
