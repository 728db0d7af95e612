import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';
import * as zod from 'zod';

const layoutKey: objectStore.ObjectKey = { kind: 'ledger-layout', name: 'layout' };
const layoutSchema = zod.object({ partitionCount: zod.number().int().min(1) });
const maxTries = 4;

/** The number of partitions, which is the same for all daemons and never changes. */
export interface PartitionLayout {
  readonly partitionCount: () => Promise<errors.Result<number, objectStore.PlatformFailure>>;
}

/**
 * Creates a layout that reads the partition count from the platform, or stores `configuredCount` there
 * if none is stored. A stored count takes precedence; if it differs, `onMismatch` is called once.
 */
export const createPartitionLayout = (
  client: objectStore.PlatformClient,
  configuredCount: number,
  onMismatch: (storedCount: number) => void,
): PartitionLayout => {
  let cachedCount: number | undefined;

  const read = async (): Promise<errors.Result<number, objectStore.PlatformFailure>> => {
    const stored = await client.get(layoutKey, 'safety');
    if (!stored.ok) return stored;
    const { partitionCount } = layoutSchema.parse(stored.value.value);
    if (cachedCount === undefined && partitionCount !== configuredCount) onMismatch(partitionCount);
    cachedCount = partitionCount;
    return errors.ok(cachedCount);
  };

  return {
    partitionCount: async () => {
      if (cachedCount !== undefined) return errors.ok(cachedCount);
      let result = await read();
      for (let tries = 0; tries < maxTries && !result.ok; tries += 1) {
        if (result.error.kind !== 'not-found') return result;
        await client.put(layoutKey, { partitionCount: configuredCount }, 'absent', 'safety');
        result = await read();
      }
      return result;
    },
  };
};
