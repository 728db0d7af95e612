import * as errors from '@comfreydrum/errors';
import * as undici from 'undici';
import { createBoundedAgent } from './createBoundedAgent';
import { dispatchRequest, type TargetResponse } from './dispatchRequest';
import type { ExecutionStatus } from './ExecutionStatus';

/** Why a target sent no response; `ran` is `unknown` when the request may have reached it. */
export interface TargetFailure extends errors.Failure<'target-failed'> {
  readonly ran: Extract<ExecutionStatus, 'not-run' | 'unknown'>;
  /** Whether the target closed the connection after the request was sent. */
  readonly wasReset: boolean;
}

/** One request to a target. */
export interface TargetRequest {
  readonly url: string;
  readonly path: string;
  readonly method: undici.Dispatcher.HttpMethod;
  /** An object keyed by name, or a flat list of names and values. */
  readonly headers: Readonly<Record<string, string>> | readonly string[];
  readonly body: Buffer | string | null;
  readonly signal: AbortSignal;
  /**
   * Called in the tick in which the request is written to an open connection; nothing is sent when it returns
   * false. It repeats the caller's checks at that time, since opening a connection can take long and the daemon can
   * be paused meanwhile.
   */
  readonly mayWrite?: () => boolean;
}

/** Sends requests to targets over keep-alive connections. */
export interface TargetClient {
  readonly send: (request: TargetRequest) => Promise<errors.Result<TargetResponse, TargetFailure>>;
  readonly close: () => Promise<void>;
}

const connectTimeoutMs = 1_000;
const resetCode = 'ERR_TARGET_RESET';
const resetCodes = new Set(['ECONNRESET', 'UND_ERR_SOCKET', 'EPIPE', resetCode]);

const codeOf = (cause: unknown): string =>
  cause instanceof Error && 'code' in cause ? String(cause.code) : '';

/**
 * Creates a connector that replaces ECONNRESET by a separate error code. undici treats ECONNRESET as the regular end
 * of a response without a length, so a truncated response would look complete.
 */
const createConnector = (localAddress: string | undefined): undici.buildConnector.connector => {
  const connect = undici.buildConnector({ timeout: connectTimeoutMs });
  return (options, callback) =>
    connect({ ...options, localAddress: localAddress ?? null }, (...result) => {
      const [, socket] = result;
      socket?.on('error', (cause: NodeJS.ErrnoException) => {
        if (cause.code === 'ECONNRESET') Object.assign(cause, { code: resetCode });
      });
      callback(...result);
    });
};

/** Keep-alive timeout of idle connections for targets that don't send their own. */
const defaultKeepAliveMs = 4_000;

/** Creates a client that uses one connection per concurrent request; idle ones are kept for `keepAliveMs`. */
export const createTargetClient = (
  localAddress: string | undefined,
  keepAliveMs = defaultKeepAliveMs,
): TargetClient => {
  const agent = createBoundedAgent({
    connect: createConnector(localAddress),
    // Admission control limits the requests of a target; a limit here would delay admitted ones.
    connections: null,
    pipelining: 1,
    keepAliveTimeout: keepAliveMs,
    keepAliveMaxTimeout: Math.max(keepAliveMs, 1),
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  return {
    send: async ({ url, path, method, headers, body, signal, mayWrite = () => true }) => {
      let mayHaveRun = false;
      const sentHeaders = Symbol.iterator in headers ? [...headers] : headers;
      const options = { origin: url, path, method, headers: sentHeaders, body };
      const checkWrite = () => {
        const may = mayWrite();
        mayHaveRun ||= may;
        return may;
      };
      try {
        return errors.ok(await dispatchRequest(agent, options, { signal, mayWrite: checkWrite }));
      } catch (cause) {
        return errors.err({
          kind: 'target-failed',
          step: 'dispatch',
          peer: url,
          message: `target ${url} failed: ${errors.describeCause(cause)}`,
          ran: mayHaveRun ? 'unknown' : 'not-run',
          wasReset: mayHaveRun && resetCodes.has(codeOf(cause)),
        });
      }
    },
    close: () => agent.destroy(),
  };
};
