import * as http from 'node:http';
import type * as clock from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import * as intake from '@comfreydrum/intake';
import * as lifecycle from '@comfreydrum/lifecycle';
import * as targetClient from '@comfreydrum/target-client';
import * as rpc from 'json-rpc-2.0';
import * as undici from 'undici';
import { decodeBody, encodeBody, maxBodyBytes } from './bodyEncoding';
import { callHeaders, createCallSigner } from './createCallSigner';
import { invalidSignatureMessage, type MessageSigner } from './createMessageSigner';
import type { PeerCalls, PeerFailure } from './PeerCalls';
import { parseAddress } from './parseAddress';
import type { PeerCounters } from './PeerStatistics';

/** Options of `createHttpPeerCalls`. */
export interface HttpPeerCallsOptions {
  readonly selfId: string;
  readonly fleet: string;
  readonly listen: string;
  readonly localAddress?: string | undefined;
  readonly signer: MessageSigner;
  readonly counters: PeerCounters;
  readonly currentTime: () => clock.HybridTime;
  readonly receiveTime: (time: clock.HybridTime) => void;
}

/** Calls over HTTP, and the server that receives them. */
export interface HttpPeerCalls extends PeerCalls {
  readonly open: () => Promise<void>;
  readonly close: () => Promise<void>;
}

interface ServerParams {
  readonly callerId: string;
}

const maxNameLength = 64;
const connectTimeoutMs = 1_000;
const idleTimeoutMs = 10_000;

const formatTime = ({ wallMs, counter }: clock.HybridTime): string => `${wallMs}.${counter}`;

const parseTime = (text: unknown): clock.HybridTime | undefined => {
  const match = /^(\d{1,15})\.(\d{1,9})$/.exec(String(text));
  return match ? { wallMs: Number(match[1]), counter: Number(match[2]) } : undefined;
};

const readBody = async (request: http.IncomingMessage): Promise<Buffer | undefined> => {
  const buffer = intake.createBodyBuffer(maxBodyBytes);
  for await (const chunk of request) {
    const bytes = chunk as Buffer;
    if (buffer.sizeBytes() + bytes.length > maxBodyBytes) return undefined;
    buffer.append(bytes);
  }
  return buffer.bytes();
};

const failureKindOf = (cause: unknown): PeerFailure['kind'] => {
  if (!errors.wasNeverSent(cause)) return 'timeout';
  return cause instanceof Error && 'code' in cause && cause.code === 'ECONNREFUSED'
    ? 'refused'
    : 'unreachable';
};

/** Creates the calls of one daemon; `open` starts the server. */
export const createHttpPeerCalls = (options: HttpPeerCallsOptions): HttpPeerCalls => {
  const { counters } = options;
  const signer = createCallSigner(options.signer);
  const agent = targetClient.createBoundedAgent({
    connect: { timeout: connectTimeoutMs },
    maxResponseSize: maxBodyBytes,
    ...(options.localAddress === undefined ? {} : { localAddress: options.localAddress }),
    keepAliveTimeout: idleTimeoutMs,
  });
  const methods = new rpc.JSONRPCServer<ServerParams>({ errorListener: () => {} });

  const applyRemoteTime = (text: unknown) => {
    const time = parseTime(text);
    if (time) options.receiveTime(time);
  };

  const respond = async (response: http.ServerResponse, text: string) => {
    const accepted = response.req.headers['accept-encoding'];
    const { bytes, headers } = await encodeBody(text, accepted);
    counters.add('callBytesSent', bytes.length);
    const signed = signer.signResponse({
      callHeaders: response.req.headers,
      statusCode: 200,
      headers: { ...headers, [callHeaders.time]: formatTime(options.currentTime()) },
      body: bytes,
    });
    response.sendDate = false;
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': bytes.length,
      ...signed,
    });
    response.end(bytes);
  };

  /**
   * Rejects a call with an unsigned response. A signed one could be replayed by an attacker as the
   * response to another call.
   */
  const rejectCall = (response: http.ServerResponse, statusCode: number, error: string) => {
    const body = JSON.stringify({ error });
    counters.add('callBytesSent', body.length);
    response.writeHead(statusCode, { 'content-type': 'application/json' });
    response.end(body);
  };

  const serve = async (request: http.IncomingMessage, response: http.ServerResponse) => {
    const callerId = String(request.headers[callHeaders.caller] ?? '').slice(0, maxNameLength);
    if (request.headers[callHeaders.fleet] !== options.fleet) {
      counters.add('droppedOtherFleet');
      rejectCall(response, 403, 'this daemon belongs to another fleet');
      return;
    }
    const body = await readBody(request);
    if (body === undefined) {
      counters.add('droppedMalformed');
      rejectCall(response, 413, `a call is over ${maxBodyBytes} bytes`);
      return;
    }
    if (!signer.verifyCall(request.headers, body)) {
      counters.add('droppedUnauthenticated');
      rejectCall(response, 401, invalidSignatureMessage);
      return;
    }
    counters.add('callsServed');
    counters.add('callBytesReceived', body.length);
    const text = await decodeBody(body, request.headers['content-encoding']);
    applyRemoteTime(request.headers[callHeaders.time]);
    const result = await methods.receiveJSON(text, { callerId });
    await respond(response, JSON.stringify(result));
  };

  const server = http.createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = idleTimeoutMs + 1_000;

  let nextId = 1;
  const post = async (address: string, method: string, params: unknown, timeoutMs: number) => {
    const request = JSON.stringify(rpc.createJSONRPCRequest(nextId, method, params));
    nextId += 1;
    const { bytes, headers } = await encodeBody(request, 'gzip');
    counters.add('callsMade');
    counters.add('callBytesSent', bytes.length);
    const signed = signer.signCall(
      {
        ...headers,
        [callHeaders.caller]: options.selfId,
        [callHeaders.fleet]: options.fleet,
        [callHeaders.time]: formatTime(options.currentTime()),
      },
      bytes,
    );
    const response = await undici.request(`http://${address}/rpc`, {
      method: 'POST',
      dispatcher: agent,
      signal: AbortSignal.timeout(timeoutMs),
      headers: {
        'content-type': 'application/json',
        'accept-encoding': 'gzip',
        ...signed,
      },
      body: bytes,
    });
    const responseBody = Buffer.from(await response.body.arrayBuffer());
    counters.add('callBytesReceived', responseBody.length);
    const { statusCode, headers: responseHeaders } = response;
    const received = {
      callHeaders: signed,
      statusCode,
      headers: responseHeaders,
      body: responseBody,
    };
    if (!signer.verifyResponse(received)) {
      counters.add('droppedUnauthenticated');
      throw new Error(`the answer with status ${statusCode} has ${invalidSignatureMessage}`);
    }
    const text = await decodeBody(responseBody, responseHeaders[callHeaders.encoding]);
    applyRemoteTime(responseHeaders[callHeaders.time]);
    return JSON.parse(text) as unknown;
  };

  return {
    call: async (address, method, params, timeoutMs) => {
      const fail = (kind: PeerFailure['kind'], message: string) =>
        errors.err<PeerFailure>({ kind, step: `call ${method}`, peer: address, message });
      try {
        const response = await post(address, method, params, timeoutMs);
        if (!rpc.isJSONRPCResponse(response)) {
          return fail('rejected', `call ${method}: ${JSON.stringify(response).slice(0, 200)}`);
        }
        if (response.error) return fail('rejected', `call ${method}: ${response.error.message}`);
        return errors.ok(response.result as unknown);
      } catch (cause) {
        return fail(failureKindOf(cause), `call ${method}: ${errors.describeCause(cause)}`);
      }
    },
    handle: (method, handler) => {
      if (methods.hasMethod(method)) throw new Error(`method "${method}" already has a handler`);
      methods.addMethod(method, async (params: unknown, { callerId }) => {
        const result = await handler(params, callerId);
        return result === undefined ? null : result;
      });
    },
    open: () => lifecycle.listen(server, parseAddress(options.listen)),
    close: async () => {
      await agent.destroy();
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      });
    },
  };
};
