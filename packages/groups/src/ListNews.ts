import type * as objectStore from '@comfreydrum/object-store';
import * as zod from 'zod';

/** Begins the keys of all news on the platform's list of targets. */
export const listPrefix = '//';

/** The key under which a reader tells the digest of the list that it read last. */
export const listKey = `${listPrefix}list`;

/** The key under which a reader tells a change of one entry. */
export const entryKeyOf = (instanceId: string): string => `${listPrefix}target/${instanceId}`;

/** Gives the instance that a key is about; undefined for other keys. */
export const instanceOfKey = (key: string): string | undefined =>
  key.startsWith(entryKeyOf('')) ? key.slice(entryKeyOf('').length) : undefined;

/** Checks what a reader tells of one entry: its fields in a fixed order, or that it is gone. */
export const entryRowSchema = zod
  .tuple([
    zod.string(),
    zod.string(),
    zod.string(),
    zod.string(),
    zod.string(),
    zod.number().int().nonnegative(),
    zod.enum(['live', 'leaving']),
  ])
  .readonly()
  .nullable();

/** Checks the digest of a list. */
export const digestSchema = zod.string();

type EntryRow = zod.infer<typeof entryRowSchema>;

/** Turns an entry into the row that travels. */
export const toEntryRow = (entry: objectStore.ListedInstance | undefined): EntryRow =>
  entry === undefined
    ? null
    : [
        entry.url,
        entry.targetKind,
        entry.region,
        entry.failureDomain,
        entry.fabricDomain,
        entry.acceleratorCount,
        entry.state,
      ];

/** Turns a checked row back into an entry; undefined for one that is gone. */
export const toEntry = (
  instanceId: string,
  row: EntryRow,
): objectStore.ListedInstance | undefined => {
  if (row === null) return undefined;
  const [url, targetKind, region, failureDomain, fabricDomain, acceleratorCount, state] = row;
  return {
    instanceId,
    url,
    targetKind,
    region,
    failureDomain,
    fabricDomain,
    acceleratorCount,
    state,
  };
};
