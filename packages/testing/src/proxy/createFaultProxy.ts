import { createRandom } from '../createRandom';
import { formatAddress, parseAddress } from './Address';
import { createTcpForwarder } from './createTcpForwarder';
import type { TcpForwarder } from './createTcpForwarder';
import { createUdpForwarder } from './createUdpForwarder';
import type { UdpForwarder } from './createUdpForwarder';
import { createLinkFaultRegistry } from './LinkFault';
import type { LinkFault } from './LinkFault';

/**
 * A proxy in front of processes that injects faults into the links between them.
 *
 * Links are directed, from one IP to another. On a connection, the bytes sent to the target are
 * subject to the fault from the caller's IP to the target's, and the bytes sent back to the fault
 * in the other direction.
 */
export interface FaultProxy {
  /** Forwards from one IP:port to another and returns the listening address. */
  readonly forward: (listen: string, target: string, transport?: 'tcp' | 'both') => Promise<string>;
  /** Updates the fault of the link from one IP to another; `*` matches every IP. */
  readonly updateLinkFault: (fromIp: string, toIp: string, changes: Partial<LinkFault>) => void;
  /** Cuts the links between two IPs in both directions. */
  readonly cutBetween: (ip: string, otherIp: string) => void;
  /** Clears the faults of every link and delivers the delayed data. */
  readonly heal: () => void;
  /** Resets the open connections to a target IP, from one caller IP or from all. */
  readonly resetConnections: (toIp: string, fromIp?: string) => void;
  readonly connectionCount: (toIp: string) => number;
  readonly stop: () => Promise<void>;
}

interface Forwarding {
  readonly toIp: string;
  readonly tcp: TcpForwarder;
  readonly udp: UdpForwarder | undefined;
}

/** Creates a proxy without forwarders; `seed` makes its random choices repeatable. */
export const createFaultProxy = (seed = 1): FaultProxy => {
  const random = createRandom(seed);
  const faults = createLinkFaultRegistry();
  const forwardings: Forwarding[] = [];

  const findForwardings = (toIp: string) =>
    forwardings.filter((forwarding) => forwarding.toIp === toIp);

  return {
    forward: async (listenText, targetText, transport = 'tcp') => {
      const listen = parseAddress(listenText);
      const target = parseAddress(targetText);
      const tcp = createTcpForwarder(listen, target, faults, random);
      const bound = await tcp.start();
      const udp =
        transport === 'both' ? createUdpForwarder(bound, target, faults, random) : undefined;
      await udp?.start();
      forwardings.push({ toIp: target.ip, tcp, udp });
      return formatAddress(bound);
    },
    updateLinkFault: faults.update,
    cutBetween: (ip, otherIp) => {
      faults.update(ip, otherIp, { isCut: true });
      faults.update(otherIp, ip, { isCut: true });
    },
    heal: faults.clear,
    resetConnections: (toIp, fromIp) =>
      findForwardings(toIp).forEach(({ tcp }) => tcp.resetConnections(fromIp)),
    connectionCount: (toIp) =>
      findForwardings(toIp).reduce((sum, { tcp }) => sum + tcp.connectionCount(), 0),
    stop: async () => {
      await Promise.all(forwardings.flatMap(({ tcp, udp }) => [tcp.stop(), udp?.stop()]));
    },
  };
};
