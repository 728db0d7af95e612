import type * as fleet from '@comfreydrum/fleet';
import type { CloseMode } from './TargetOrders';

/** A step that forms, opens or closes a group, takes a member out of it, or stages weights. */
export type FormationStep =
  | {
      readonly kind: 'form';
      readonly modelName: string;
      /** The first member is the head. */
      readonly members: readonly fleet.Target[];
      readonly reason: string;
    }
  | { readonly kind: 'open'; readonly group: fleet.Group; readonly head: fleet.Target }
  | {
      readonly kind: 'close';
      readonly group: fleet.Group;
      readonly head: fleet.Target;
      readonly mode: CloseMode;
      readonly reason: string;
    }
  | {
      readonly kind: 'leave';
      readonly group: fleet.Group;
      readonly member: fleet.Target;
      readonly reason: string;
    }
  | {
      readonly kind: 'stage';
      readonly modelName: string;
      readonly target: fleet.Target;
      readonly reason: string;
    };
