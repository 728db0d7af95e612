/** Run keys of targets and the position in the table up to which they have been shared. */
export interface LeavingChanges {
  readonly targetKeys: readonly string[];
  readonly version: number;
  /** Whether nothing is left for the next message. */
  readonly isWhole: boolean;
}

/** The runs of targets that have said that they are leaving, to this daemon or to others. */
export interface LeavingTable {
  readonly has: (targetKey: string) => boolean;
  /** Adds a run; returns false if it is known. */
  readonly add: (targetKey: string, source: LeavingSource, nowMs: number) => boolean;
  /** Returns runs that were added lately and after a version of the table. */
  readonly changesSince: (query: LeavingQuery) => LeavingChanges;
}

export type LeavingSource = 'own' | 'shared';

export interface LeavingQuery {
  readonly version: number;
  readonly nowMs: number;
  /** Leaves out what other daemons have told this one. */
  readonly isOwnOnly: boolean;
}

interface Entry {
  readonly version: number;
  readonly addedAtMs: number;
  readonly source: LeavingSource;
}

/** More than twice the targets of a large fleet; the oldest runs are removed above this. */
const maxEntries = 4_096;
/** The list of targets shows within this time that a target has left. */
const sharingMs = 60_000;
const maxSharedKeys = 256;

/** Creates an empty table. It doesn't depend on the list of targets, which may lack a run for a while or lag behind. */
export const createLeavingTable = (): LeavingTable => {
  /** In the order of their versions. */
  const entries = new Map<string, Entry>();
  let lastVersion = 0;

  return {
    has: (targetKey) => entries.has(targetKey),
    add: (targetKey, source, nowMs) => {
      if (entries.has(targetKey)) return false;
      lastVersion += 1;
      entries.set(targetKey, { version: lastVersion, addedAtMs: nowMs, source });
      const [oldest] = entries.keys();
      if (entries.size > maxEntries && oldest !== undefined) entries.delete(oldest);
      return true;
    },
    changesSince: ({ version, nowMs, isOwnOnly }) => {
      if (version >= lastVersion) return { targetKeys: [], version, isWhole: true };
      const newer = [...entries].filter(([, entry]) => entry.version > version);
      const shared = newer.filter(
        ([, { addedAtMs, source }]) =>
          nowMs - addedAtMs <= sharingMs && (!isOwnOnly || source === 'own'),
      );
      const sent = shared.slice(0, maxSharedKeys);
      const isWhole = sent.length === shared.length;
      return {
        targetKeys: sent.map(([targetKey]) => targetKey),
        version: isWhole ? lastVersion : sent.at(-1)![1].version,
        isWhole,
      };
    },
  };
};
