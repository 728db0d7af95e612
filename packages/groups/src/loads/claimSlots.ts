import type * as objectStore from '@comfreydrum/object-store';
import type { FabricDomainRecord } from '../FabricDomainRecord';
import { fitsStoreRate, sumBytesPerSecond } from './createLoadQueue';
import type { Load } from './orderLoads';
import {
  isInUse,
  weightStoreKind,
  weightStoreSchema,
  type LoadSlot,
  type WeightStoreRecord,
} from './WeightStoreRecord';

/** The slots that are wanted, and the known records from which slots in use are derived. */
export interface SlotClaim {
  readonly platform: objectStore.PlatformClient;
  readonly records: ReadonlyMap<string, FabricDomainRecord>;
  readonly team: string;
  readonly storeBytesPerSecond: number;
  readonly loading: readonly Load[];
  /** The loads that need a slot, in queue order. */
  readonly wanted: readonly Load[];
}

/**
 * The result of a claim; `settled` means that every wanted load holds a slot. After `full` and
 * `failed`, the claim may be retried: the retry reads the object and finds the slots of a write whose
 * response was lost.
 */
export interface SlotClaimOutcome {
  readonly kind: 'settled' | 'full' | 'failed';
  readonly granted: readonly Load[];
}

interface StoredSlots {
  readonly condition: objectStore.WriteCondition;
  readonly slots: WeightStoreRecord['slots'];
}

const readSlots = async ({
  platform: client,
  team,
}: SlotClaim): Promise<StoredSlots | undefined> => {
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

/**
 * Claims slots for as many wanted loads as the rate of the store allows, by a conditional write on the
 * version that was read.
 */
export const claimSlots = async (claim: SlotClaim): Promise<SlotClaimOutcome> => {
  const stored = await readSlots(claim);
  if (stored === undefined) return { kind: 'failed', granted: [] };
  const slots = new Map(
    Object.entries(stored.slots).filter(([groupId, slot]) =>
      isInUse(groupId, slot, claim.records.get(slot.fabricDomain)),
    ),
  );
  const hasSlot = ({ groupId, generation }: Load) => slots.get(groupId)?.generation === generation;
  // Loads that started before the rate of the store was limited hold no slot.
  const loadingWithoutSlot = claim.loading.filter(({ groupId }) => !slots.has(groupId));
  const granted = claim.wanted.filter(hasSlot);
  const added: Load[] = [];
  for (const load of claim.wanted.filter((wanted) => !hasSlot(wanted))) {
    const others = [...slots].filter(([groupId]) => groupId !== load.groupId);
    const usedBytesPerSecond = sumBytesPerSecond([
      ...others.map(([, slot]) => slot),
      ...loadingWithoutSlot,
    ]);
    if (!fitsStoreRate(load, usedBytesPerSecond, claim.storeBytesPerSecond)) break;
    slots.set(load.groupId, toSlot(load));
    added.push(load);
  }
  const isFull = granted.length + added.length < claim.wanted.length;
  if (added.length > 0) {
    const key = { kind: weightStoreKind, name: claim.team };
    const value: WeightStoreRecord = { slots: Object.fromEntries(slots) };
    const written = await claim.platform.put(key, value, stored.condition, 'safety');
    if (!written.ok) return { kind: 'failed', granted };
  }
  return { kind: isFull ? 'full' : 'settled', granted: [...granted, ...added] };
};
