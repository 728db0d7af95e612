import type * as objectStore from '@comfreydrum/object-store';
import * as zod from 'zod';

/** The key prefix of all messages about the platform's target list. */
export const listKeyPrefix = '//';

/** The key under which a reader publishes the digest of the list that it last read. */
export const listKey = `${listKeyPrefix}list`;

/** Returns the key under which a reader publishes a change of one entry. */
export const entryKeyOf = (instanceId: string): string => `${listKeyPrefix}target/${instanceId}`;

/** Returns the instance id in an entry key, or undefined for other keys. */
export const instanceOfKey = (key: string): string | undefined =>
  key.startsWith(entryKeyOf('')) ? key.slice(entryKeyOf('').length) : undefined;

/** Validates a published entry: its fields in a fixed order, or null for a removed entry. */
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

/** Validates the published digest of a list. */
export const digestSchema = zod.string();

type EntryRow = zod.infer<typeof entryRowSchema>;

/** Encodes an entry as a row. */
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

/** Decodes a validated row; returns undefined for a removed entry. */
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
