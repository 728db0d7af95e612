const counterNames = [
  'datagramsSent',
  'datagramsReceived',
  'bytesSent',
  'bytesReceived',
  'droppedMalformed',
  'droppedOtherFleet',
  'droppedUnauthenticated',
  'droppedOversized',
  'droppedUnknownSender',
  'callsMade',
  'callsServed',
  'callBytesSent',
  'callBytesReceived',
  'probesSent',
  'probesFailed',
] as const;

type CounterName = (typeof counterNames)[number];

/**
 * Traffic between this daemon and its peers since the start, and the current numbers of members and
 * messages.
 */
export interface PeerStatistics extends Readonly<Record<CounterName, number>> {
  readonly memberCount: number;
  readonly newsCount: number;
  /** Median round-trip time of successful probes, in milliseconds. */
  readonly roundTripP50Ms: number;
  /** 99th percentile of the round-trip time of successful probes, in milliseconds. */
  readonly roundTripP99Ms: number;
}

/** The counters that `PeerStatistics` reports. */
export interface PeerCounters {
  readonly add: (name: CounterName, amount?: number) => void;
  readonly read: () => Readonly<Record<CounterName, number>>;
}

export const createPeerCounters = (): PeerCounters => {
  const counts = new Map<CounterName, number>(counterNames.map((name) => [name, 0]));
  return {
    add: (name, amount = 1) => {
      counts.set(name, counts.get(name)! + amount);
    },
    read: () => Object.fromEntries(counts) as Record<CounterName, number>,
  };
};
