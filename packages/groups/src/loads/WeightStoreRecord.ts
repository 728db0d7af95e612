import * as zod from 'zod';
import type { FabricDomainRecord } from '../FabricDomainRecord';

/** Kind of the platform objects that record which groups may load from a team's weight store. */
export const weightStoreKind = 'weight-store';

const loadSlotSchema = zod
  .object({
    fabricDomain: zod.string(),
    /** Generation in which the group was planned. */
    generation: zod.number().int(),
    bytesPerSecond: zod.number(),
  })
  .readonly();

/** The object of one team: the load slots of its groups, by group id. */
export const weightStoreSchema = zod
  .object({ slots: zod.record(zod.string(), loadSlotSchema).readonly() })
  .readonly();

export type LoadSlot = zod.infer<typeof loadSlotSchema>;
export type WeightStoreRecord = zod.infer<typeof weightStoreSchema>;

/**
 * Reports whether a slot may still be in use, according to the known record of its fabric domain.
 *
 * A slot counts as in use if it is newer than the record, which can't show the state of its group
 * yet. Once the group has loaded, is gone or is planned again, the slot stays free: each later load of
 * the group needs a slot of its own.
 */
export const isInUse = (
  groupId: string,
  slot: LoadSlot,
  record: FabricDomainRecord | undefined,
): boolean => {
  if (record === undefined || record.generation < slot.generation) return true;
  const group = record.groups[groupId];
  if (group?.phase === 'planned') return group.generation === slot.generation;
  return group?.phase === 'loading' && group.generation > slot.generation;
};
