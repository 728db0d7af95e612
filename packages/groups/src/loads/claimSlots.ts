import type * as objectStore from '@comfreydrum/object-store';
import type { FabricDomainRecord } from '../FabricDomainRecord';
import { fitsBeside, sumBytesPerSecond } from './createTurns';
import type { Load } from './orderLoads';
import {
  isInUse,
  weightStoreKind,
  weightStoreSchema,
  type LoadSlot,
  type WeightStoreRecord,
} from './WeightStoreRecord';

/** Which slots are wanted, and what is known of those that others hold. */
export interface Claim {
  readonly platform: objectStore.PlatformClient;
  readonly records: ReadonlyMap<string, FabricDomainRecord>;
  readonly team: string;
  readonly storeBytesPerSecond: number;
  readonly loading: readonly Load[];
  /** In the order of their turns. */
  readonly wanted: readonly Load[];
}

/**
 * How a claim ended: `settled` when every wanted load holds a slot. After `full` and `failed` it may be
 * tried again; a write whose answer was lost shows itself in the object then.
 */
export interface ClaimOutcome {
  readonly kind: 'settled' | 'full' | 'failed';
  readonly granted: readonly Load[];
}

interface Known {
  readonly condition: objectStore.WriteCondition;
  readonly slots: WeightStoreRecord['slots'];
}

const read = async ({ platform: client, team }: Claim): Promise<Known | undefined> => {
  const found = await client.get({ kind: weightStoreKind, name: team }, 'safety');
  if (!found.ok) {
    return found.error.kind === 'not-found' ? { condition: 'absent', slots: {} } : undefined;
  }
  const checked = weightStoreSchema.safeParse(found.value.value);
  if (!checked.success) return undefined;
  return { condition: { version: found.value.version }, slots: checked.data.slots };
};

const toSlot = ({ fabricDomain, generation, bytesPerSecond }: Load): LoadSlot => ({
  fabricDomain,
  generation,
  bytesPerSecond,
});

/** Takes slots for as many wanted loads as fit, and writes them on the version that was read. */
export const claimSlots = async (claim: Claim): Promise<ClaimOutcome> => {
  const known = await read(claim);
  if (known === undefined) return { kind: 'failed', granted: [] };
  const slots = new Map(
    Object.entries(known.slots).filter(([groupId, slot]) =>
      isInUse(groupId, slot, claim.records.get(slot.fabricDomain)),
    ),
  );
  const has = ({ groupId, generation }: Load) => slots.get(groupId)?.generation === generation;
  // Loads that began before the team had a bound hold no slot.
  const unheld = claim.loading.filter(({ groupId }) => !slots.has(groupId));
  const granted = claim.wanted.filter(has);
  const added: Load[] = [];
  for (const load of claim.wanted.filter((wanted) => !has(wanted))) {
    const others = [...slots].filter(([groupId]) => groupId !== load.groupId);
    const taken = sumBytesPerSecond([...others.map(([, slot]) => slot), ...unheld]);
    if (!fitsBeside(load, taken, claim.storeBytesPerSecond)) break;
    slots.set(load.groupId, toSlot(load));
    added.push(load);
  }
  const isFull = granted.length + added.length < claim.wanted.length;
  if (added.length > 0) {
    const key = { kind: weightStoreKind, name: claim.team };
    const value: WeightStoreRecord = { slots: Object.fromEntries(slots) };
    const written = await claim.platform.put(key, value, known.condition, 'safety');
    if (!written.ok) return { kind: 'failed', granted };
  }
  return { kind: isFull ? 'full' : 'settled', granted: [...granted, ...added] };
};
