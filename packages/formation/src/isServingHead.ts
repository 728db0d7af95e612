import type * as fleet from '@comfreydrum/fleet';

const servingStates: readonly fleet.MembershipState[] = ['open', 'closing'];

/** Reports whether a membership is that of a head which serves or closes. */
export const isServingHead = ({ rank, state }: fleet.GroupMembership): boolean =>
  rank === 0 && servingStates.includes(state);
