import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';
import * as zod from 'zod';

const layoutKey: objectStore.ObjectKey = { kind: 'ledger-layout', name: 'layout' };
const layoutSchema = zod.object({ partitionCount: zod.number().int().min(1) });
const maxTries = 4;

/** The number of partitions, which is the same for all daemons and never changes. */
export interface Layout {
  readonly partitionCount: () => Promise<errors.Result<number, objectStore.PlatformFailure>>;
}

/**
 * Creates a layout that reads the partition count from the platform, or stores `configuredCount` there
 * if none is stored. A stored count takes precedence; if it differs, `onMismatch` is called once.
 */
export const createLayout = (
  client: objectStore.PlatformClient,
  wantedCount: number,
  onDifference: (storedCount: number) => void,
): Layout => {
  let known: number | undefined;

  const read = async (): Promise<errors.Result<number, objectStore.PlatformFailure>> => {
    const stored = await client.get(layoutKey, 'safety');
    if (!stored.ok) return stored;
    const { partitionCount } = layoutSchema.parse(stored.value.value);
    if (known === undefined && partitionCount !== wantedCount) onDifference(partitionCount);
    known = partitionCount;
    return errors.ok(known);
  };

  return {
    partitionCount: async () => {
      if (known !== undefined) return errors.ok(known);
      let result = await read();
      for (let tries = 0; tries < maxTries && !result.ok; tries += 1) {
        if (result.error.kind !== 'not-found') return result;
        await client.put(layoutKey, { partitionCount: wantedCount }, 'absent', 'safety');
        result = await read();
      }
      return result;
    },
  };
};
