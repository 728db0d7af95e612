import type * as fleet from '@comfreydrum/fleet';
import type { FormationStep } from './FormationStep';
import { compareByWarmth, warmthFor } from './warmthFor';

/** Groups to form, and the targets that are left over. */
export interface FormedGroups {
  readonly steps: readonly FormationStep[];
  readonly left: readonly fleet.Target[];
}

/** Forms as many groups as possible from free targets, starting with those that can join soonest. */
export const formGroups = (
  free: readonly fleet.Target[],
  model: fleet.ServedModel,
  tryReserveLoads: (count: number) => boolean,
): FormedGroups => {
  const steps: FormationStep[] = [];
  let left = [...free].sort(compareByWarmth(model.name));
  while (left.length >= model.groupSize) {
    const members = left.slice(0, model.groupSize);
    const coldCount = members.filter((target) => warmthFor(target, model.name) === 'cold').length;
    if (coldCount > 0 && !tryReserveLoads(coldCount)) break;
    left = left.slice(model.groupSize);
    const reason = `${model.groupSize - coldCount} of ${model.groupSize} hold the weights`;
    steps.push({ kind: 'form', modelName: model.name, members, reason });
  }
  return { steps, left };
};
