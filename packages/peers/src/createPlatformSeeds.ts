import type * as objectStore from '@comfreydrum/object-store';
import * as zod from 'zod';
import type { PlatformSeeds } from './PlatformSeeds';

const kind = 'entry-instance';
const valueSchema = zod.object({ address: zod.string(), incarnation: zod.string() });
const maxTryCount = 3;

/**
 * Creates seeds stored as one small platform object per daemon: one read and one write to announce
 * it, one read and one write to withdraw it.
 */
export const createPlatformSeeds = (client: objectStore.PlatformClient): PlatformSeeds => {
  const announceOnce = async (instanceId: string, value: zod.infer<typeof valueSchema>) => {
    const key = { kind, name: instanceId };
    const known = await client.get(key, 'background');
    if (!known.ok && known.error.kind !== 'not-found') return false;
    const condition = known.ok ? { version: known.value.version } : 'absent';
    const written = await client.put(key, value, condition, 'background');
    return written.ok;
  };

  return {
    announce: async (instanceId, address, incarnation) => {
      for (let attempt = 0; attempt < maxTryCount; attempt += 1) {
        if (await announceOnce(instanceId, { address, incarnation })) return 'announced';
      }
      return 'failed';
    },
    withdraw: async (instanceId, incarnation) => {
      const key = { kind, name: instanceId };
      const known = await client.get(key, 'background');
      if (!known.ok) return;
      const checked = valueSchema.safeParse(known.value.value);
      if (checked.success && checked.data.incarnation !== incarnation) return;
      await client.remove(key, known.value.version, 'background');
    },
    addresses: async () => {
      const listed = await client.list(kind, 'background');
      if (!listed.ok) return [];
      return listed.value.objects.flatMap(({ value }) => {
        const checked = valueSchema.safeParse(value);
        return checked.success ? [checked.data.address] : [];
      });
    },
  };
};
