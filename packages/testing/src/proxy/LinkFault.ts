/** The faults injected into the traffic from one IP to another. */
export interface LinkFault {
  /** Holds back TCP connects, data and closes until the fault is cleared; drops datagrams. */
  readonly isCut: boolean;
  /** Resets new connections immediately. */
  readonly isRefused: boolean;
  readonly delayMs: number;
  /** Upper bound of a random delay added to `delayMs`; it may reorder datagrams. */
  readonly jitterMs: number;
  /** Fraction of datagrams that are lost. */
  readonly dropFraction: number;
  /** Fraction of datagrams that arrive twice. */
  readonly duplicateFraction: number;
}

/** A link without any fault. */
export const faultlessLink: LinkFault = {
  isCut: false,
  isRefused: false,
  delayMs: 0,
  jitterMs: 0,
  dropFraction: 0,
  duplicateFraction: 0,
};

/** Wildcard that matches every IP when a fault is set. */
export const anyIp = '*';

/** The faults of all directed links between IPs. */
export interface LinkFaultRegistry {
  /** Returns the fault in effect from one IP to another; the most specific entry wins. */
  readonly read: (fromIp: string, toIp: string) => LinkFault;
  /** Updates the given fields of the fault of a link. */
  readonly update: (fromIp: string, toIp: string, changes: Partial<LinkFault>) => void;
  readonly clear: () => void;
  /** Calls `listener` after each change; the returned function unsubscribes. */
  readonly onChange: (listener: () => void) => () => void;
}

/** Creates a registry in which no link has a fault. */
export const createLinkFaultRegistry = (): LinkFaultRegistry => {
  const faults = new Map<string, LinkFault>();
  const listeners = new Set<() => void>();
  const keyOf = (fromIp: string, toIp: string) => `${fromIp}>${toIp}`;
  const notify = () => [...listeners].forEach((listener) => listener());

  return {
    read: (fromIp, toIp) =>
      faults.get(keyOf(fromIp, toIp)) ??
      faults.get(keyOf(fromIp, anyIp)) ??
      faults.get(keyOf(anyIp, toIp)) ??
      faults.get(keyOf(anyIp, anyIp)) ??
      faultlessLink,
    update: (fromIp, toIp, changes) => {
      const key = keyOf(fromIp, toIp);
      faults.set(key, { ...faultlessLink, ...faults.get(key), ...changes });
      notify();
    },
    clear: () => {
      faults.clear();
      notify();
    },
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};
