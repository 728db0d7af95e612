export type { Membership, MembershipWithDead, PeerMember } from './Membership';
export type { MessageBus, BusMessage, MessageTopic } from './MessageBus';
export type { PeerCalls, PeerFailure } from './PeerCalls';
export type { Beacon, ReceivedBeacon } from './Beacon';
export type { PeerStatistics } from './PeerStatistics';
export type { Peers, PeersOptions, PeersSettings } from './Peers';
export type { PlatformSeeds } from './PlatformSeeds';
export { createPlatformSeeds } from './createPlatformSeeds';
export { createPeers } from './createPeers';
export { parseAddress, type SocketAddress } from './parseAddress';
export {
  createStandalonePeerCalls,
  type StandalonePeerCalls,
  type StandalonePeerCallsOptions,
} from './createStandalonePeerCalls';
