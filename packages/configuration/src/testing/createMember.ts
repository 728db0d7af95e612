import type * as peers from '@comfreydrum/peers';

/** Returns a live member whose address is its instance id. */
export const createMember = (instanceId: string): peers.PeerMember => ({
  instanceId,
  address: instanceId,
  region: 'navarra',
  failureDomain: 'pamplona-a',
  state: 'live',
  incarnation: '1',
});
