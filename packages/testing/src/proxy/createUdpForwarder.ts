import * as dgram from 'node:dgram';
import type { Random } from '../createRandom';
import { formatAddress } from './Address';
import type { Address } from './Address';
import type { LinkFaultRegistry } from './LinkFault';

/** Forwards datagrams to one address, and the replies back. */
export interface UdpForwarder {
  readonly start: () => Promise<Address>;
  readonly stop: () => Promise<void>;
}

const bind = (socket: dgram.Socket, address: Address): Promise<void> =>
  new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(address.port, address.ip, () => {
      socket.off('error', reject);
      socket.on('error', () => {});
      resolve();
    });
  });

/** Creates a forwarder from `listen` to `target` that sends from the caller's own IP. */
export const createUdpForwarder = (
  listen: Address,
  target: Address,
  faults: LinkFaultRegistry,
  random: Random,
): UdpForwarder => {
  const listener = dgram.createSocket('udp4');
  const upstreams = new Map<string, Promise<dgram.Socket>>();
  const timers = new Set<NodeJS.Timeout>();

  const sendAfter = (delayMs: number, send: () => void) => {
    if (delayMs === 0) {
      send();
      return;
    }
    const timer = setTimeout(() => {
      timers.delete(timer);
      send();
    }, delayMs);
    timers.add(timer);
  };

  const deliver = (fromIp: string, toIp: string, send: () => void) => {
    const fault = faults.read(fromIp, toIp);
    if (fault.isCut || random.fraction() < fault.dropFraction) return;
    const copyCount = random.fraction() < fault.duplicateFraction ? 2 : 1;
    Array.from({ length: copyCount }).forEach(() =>
      sendAfter(fault.delayMs + fault.jitterMs * random.fraction(), send),
    );
  };

  const openUpstream = async (caller: Address): Promise<dgram.Socket> => {
    const socket = dgram.createSocket('udp4');
    await bind(socket, { ip: caller.ip, port: 0 });
    socket.on('message', (message) =>
      deliver(target.ip, caller.ip, () => listener.send(message, caller.port, caller.ip)),
    );
    return socket;
  };

  const forward = async (message: Buffer, caller: Address) => {
    const key = formatAddress(caller);
    const opening = upstreams.get(key) ?? openUpstream(caller);
    upstreams.set(key, opening);
    const upstream = await opening;
    deliver(caller.ip, target.ip, () => upstream.send(message, target.port, target.ip));
  };

  listener.on('message', (message, { address, port }) => {
    void forward(message, { ip: address, port });
  });

  return {
    start: async () => {
      await bind(listener, listen);
      return { ip: listen.ip, port: listener.address().port };
    },
    stop: async () => {
      timers.forEach((timer) => clearTimeout(timer));
      listener.close();
      const sockets = await Promise.all(upstreams.values());
      sockets.forEach((socket) => socket.close());
    },
  };
};
