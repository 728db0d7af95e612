import * as rpc from 'json-rpc-2.0';
import type { SenderCodec } from './createSenderCodec';
import {
  envelopeSchema,
  indirectProbeSchema,
  type Envelope,
  type ResolvedEnvelope,
} from './Envelope';
import type { PeerCounters } from './PeerStatistics';

/** Sends and serves probes and gossip as JSON-RPC over datagrams. */
export interface DatagramCalls {
  /** Probes a member; returns undefined if no response arrives in time. */
  readonly ping: (
    address: string,
    instanceId: string | undefined,
    timeoutMs: number,
  ) => Promise<ResolvedEnvelope | undefined>;
  /** Requests that the member at `address` probe another one; returns whether that one responded. */
  readonly pingIndirectly: (
    address: string,
    targetAddress: string,
    timeoutMs: number,
  ) => Promise<boolean>;
  /** Sends pending gossip without requesting a response. */
  readonly sendGossip: (address: string, instanceId: string) => void;
  /** Handles the decoded value of a datagram. */
  readonly receive: (value: unknown) => void;
  readonly stop: () => void;
}

/** Options of `createDatagramCalls`. */
export interface DatagramCallsOptions {
  readonly fleet: string;
  readonly indirectProbeTimeoutMs: number;
  readonly counters: PeerCounters;
  readonly send: (address: string, value: unknown) => void;
  /** Creates the envelope of a datagram to a member, or to an address whose member is unknown. */
  readonly compose: (instanceId: string | undefined) => Envelope;
  /** Applies the envelope of any datagram of this fleet. */
  readonly accept: (envelope: ResolvedEnvelope) => void;
  readonly senderCodec: SenderCodec;
}

/** The sender of a request and, for an indirect probe, the address to probe. */
interface Sender {
  readonly instanceId: string;
  /** The address that the sender advertises; responses are sent to it. */
  readonly address: string;
  readonly targetAddress: string | undefined;
}

/**
 * Creates datagram calls. Datagrams that are malformed, come from another fleet or have an unknown
 * sender are dropped and counted.
 */
export const createDatagramCalls = (options: DatagramCallsOptions): DatagramCalls => {
  const { counters, compose, accept, send, senderCodec } = options;

  const validate = (params: unknown): ResolvedEnvelope | undefined => {
    const checked = envelopeSchema.safeParse(params);
    if (!checked.success) {
      counters.add('droppedMalformed');
      return undefined;
    }
    if (checked.data[0] !== options.fleet) {
      counters.add('droppedOtherFleet');
      return undefined;
    }
    const [fleet, sender, ...rest] = checked.data;
    const row = senderCodec.decode(sender);
    if (row) return [fleet, row, ...rest];
    counters.add('droppedUnknownSender');
    return undefined;
  };

  const acceptResponse = (result: unknown): ResolvedEnvelope | undefined => {
    const envelope = result === undefined ? undefined : validate(result);
    if (!envelope) return undefined;
    accept(envelope);
    senderCodec.recordResponse(envelope[1][0]);
    return envelope;
  };

  const client = new rpc.JSONRPCClient<{ readonly address: string }>((request, { address }) =>
    send(address, request),
  );
  const server = new rpc.JSONRPCServer<Sender>({ errorListener: () => {} });

  const request = async (address: string, method: string, params: unknown, timeoutMs: number) => {
    try {
      const result: unknown = await client.timeout(timeoutMs).request(method, params, { address });
      return result;
    } catch {
      return undefined;
    }
  };

  const ping: DatagramCalls['ping'] = async (address, instanceId, timeoutMs) => {
    const result = await request(address, 'ping', compose(instanceId), timeoutMs);
    const envelope = acceptResponse(result);
    if (!envelope && instanceId !== undefined) senderCodec.recordTimeout(instanceId);
    return envelope;
  };

  server.addMethod('ping', (_, { instanceId }) => compose(instanceId));

  server.addMethod('news', () => {});

  server.addMethod('relay', async (_, { instanceId, targetAddress }) => {
    const answer =
      targetAddress && (await ping(targetAddress, undefined, options.indirectProbeTimeoutMs));
    if (!answer) throw new Error('no answer');
    return compose(instanceId);
  });

  /** Applies the envelope of a request and returns its sender; undefined if the request is dropped. */
  const identify = (message: rpc.JSONRPCRequest): Sender | undefined => {
    const isIndirectProbe = message.method === 'relay' && Array.isArray(message.params);
    const params = isIndirectProbe ? indirectProbeSchema.safeParse(message.params) : undefined;
    const envelope = validate(params ? params.data?.[0] : message.params);
    if (!envelope) return undefined;
    accept(envelope);
    const [instanceId, address] = envelope[1];
    return { instanceId, address, targetAddress: params?.data?.[1] };
  };

  const serve = async (message: rpc.JSONRPCRequest) => {
    const sender = identify(message);
    if (!sender) return;
    const response = await server.receive(message, sender);
    if (response) send(sender.address, response);
  };

  return {
    ping,
    pingIndirectly: async (address, targetAddress, timeoutMs) => {
      const params = [compose(undefined), targetAddress];
      const result = await request(address, 'relay', params, timeoutMs);
      return acceptResponse(result) !== undefined;
    },
    sendGossip: (address, instanceId) =>
      send(address, rpc.createJSONRPCNotification('news', compose(instanceId))),
    receive: (value) => {
      if (rpc.isJSONRPCRequest(value)) void serve(value);
      else if (rpc.isJSONRPCResponse(value)) client.receive(value);
      else counters.add('droppedMalformed');
    },
    stop: () => client.rejectAllPendingRequests('stopped'),
  };
};
