import * as dgram from 'node:dgram';
import * as cbor from 'cbor-x';
import type { MessageSigner } from './createMessageSigner';
import { parseAddress } from './parseAddress';
import type { PeerCounters } from './PeerStatistics';

/** Sends and receives CBOR values as datagrams. */
export interface DatagramPort {
  /** Starts listening; `onValue` is called with each decoded value. */
  readonly open: (onValue: (value: unknown) => void) => Promise<void>;
  readonly close: () => Promise<void>;
  /** Sends a value; drops one that is too large, and ignores errors of the network. */
  readonly send: (address: string, value: unknown) => void;
}

/** Limit of a datagram without its signature, below the smallest common MTU. */
export const maxDatagramBytes = 1_200;

const encoder = new cbor.Encoder({ useRecords: false });

/** Returns the encoded size of a value. */
export const encodedSizeBytes = (value: unknown): number => encoder.encode(value).length;

const signatureContext = 'datagram';

/** Creates a port on the UDP address `listen`; each datagram is a value followed by its signature. */
export const createDatagramPort = (
  listen: string,
  counters: PeerCounters,
  signer: MessageSigner,
): DatagramPort => {
  const { host, port } = parseAddress(listen);
  const socket = dgram.createSocket(host.includes(':') ? 'udp6' : 'udp4');
  let isOpen = false;

  const receive = (bytes: Buffer, onValue: (value: unknown) => void) => {
    counters.add('datagramsReceived');
    counters.add('bytesReceived', bytes.length);
    const valueBytes = bytes.length - signer.signatureBytes;
    if (valueBytes <= 0 || valueBytes > maxDatagramBytes) {
      counters.add('droppedMalformed');
      return;
    }
    const encoded = bytes.subarray(0, valueBytes);
    if (!signer.verify(signatureContext, encoded, bytes.subarray(valueBytes))) {
      counters.add('droppedUnauthenticated');
      return;
    }
    let value: unknown;
    try {
      value = encoder.decode(encoded);
    } catch {
      counters.add('droppedMalformed');
      return;
    }
    onValue(value);
  };

  return {
    open: (onValue) =>
      new Promise((resolve, reject) => {
        socket.once('error', reject);
        socket.bind(port, host, () => {
          socket.removeListener('error', reject);
          // Unreachable peers are detected by missing responses to probes.
          socket.on('error', () => {});
          socket.on('message', (bytes) => receive(bytes, onValue));
          isOpen = true;
          resolve();
        });
      }),
    close: () =>
      new Promise((resolve) => {
        isOpen = false;
        socket.close(() => resolve());
      }),
    send: (address, value) => {
      if (!isOpen) return;
      const bytes = encoder.encode(value);
      if (bytes.length > maxDatagramBytes) {
        counters.add('droppedOversized');
        return;
      }
      const target = parseAddress(address);
      const signed = Buffer.concat([bytes, signer.sign(signatureContext, bytes)]);
      counters.add('datagramsSent');
      counters.add('bytesSent', signed.length);
      socket.send(signed, target.port, target.host, () => {});
    },
  };
};
