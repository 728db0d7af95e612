import type * as clock from '@comfreydrum/clock';
import type * as lifecycle from '@comfreydrum/lifecycle';
import { createHttpPeerCalls } from './createHttpPeerCalls';
import { createMessageSigner } from './createMessageSigner';
import type { PeerCalls } from './PeerCalls';
import { createPeerCounters } from './PeerStatistics';

/** Options of `createStandalonePeerCalls`. */
export interface StandalonePeerCallsOptions {
  readonly selfId: string;
  readonly fleet: string;
  /** IP:port at which other daemons call this one. */
  readonly listen: string;
  readonly localAddress?: string | undefined;
  readonly hybridClock: clock.HybridClock;
}

/** Peer calls without membership; the addresses of other daemons come from elsewhere. */
export interface StandalonePeerCalls extends PeerCalls {
  readonly component: lifecycle.Component;
}

/** Creates unsigned peer calls without membership; `part` starts and stops the server. */
export const createStandalonePeerCalls = (
  options: StandalonePeerCallsOptions,
): StandalonePeerCalls => {
  const { hybridClock, selfId, fleet, listen, localAddress } = options;
  const calls = createHttpPeerCalls({
    selfId,
    fleet,
    listen,
    localAddress,
    signer: createMessageSigner([]),
    counters: createPeerCounters(),
    currentTime: hybridClock.tick,
    receiveTime: hybridClock.receive,
  });
  return { ...calls, component: { name: 'peer calls', start: calls.open, stop: calls.close } };
};
