import type * as clock from '@comfreydrum/clock';
import type * as lifecycle from '@comfreydrum/lifecycle';
import { createHttpPeerCalls } from './createHttpPeerCalls';
import { createMessageSigner } from './createMessageSigner';
import type { PeerCalls } from './PeerCalls';
import { createPeerCounters } from './PeerStatistics';

/** What calls without membership need. */
export interface LoneCallsOptions {
  readonly selfId: string;
  readonly fleet: string;
  /** IP:port at which other daemons call this one. */
  readonly listen: string;
  readonly localAddress?: string | undefined;
  readonly hybridClock: clock.HybridClock;
}

/** Calls between daemons that learn each other's addresses elsewhere. */
export interface LoneCalls extends PeerCalls {
  readonly part: lifecycle.Part;
}

/** Creates the calls of a daemon that takes no part in membership; its part listens. */
export const createLoneCalls = (options: LoneCallsOptions): LoneCalls => {
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
  return { ...calls, part: { name: 'peer calls', start: calls.open, stop: calls.close } };
};
