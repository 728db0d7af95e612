import * as errors from '@comfreydrum/errors';
import * as undici from 'undici';
import { dispatchRequest, type TargetAnswer } from './dispatchRequest';
import type { RanState } from './RanState';

/** Why a target gave no answer; `ran` says whether the request can have reached it. */
export interface TargetFailure extends errors.Failure<'target-failed'> {
  readonly ran: Extract<RanState, 'not-run' | 'unknown'>;
  /** The target closed the connection after the request was sent. */
  readonly wasReset: boolean;
}

/** One request to a target. */
export interface TargetRequest {
  readonly url: string;
  readonly path: string;
  readonly method: undici.Dispatcher.HttpMethod;
  /** By name, or as a flat list of names and values. */
  readonly headers: Readonly<Record<string, string>> | readonly string[];
  readonly body: Buffer | string | null;
  readonly signal: AbortSignal;
  /**
   * Asked, when given, in the tick in which the request is written to an open connection; false sends nothing. A
   * connection can take long to open, and the daemon can be paused meanwhile.
   */
  readonly mayWrite?: () => boolean;
}

/** Sends requests to targets over kept connections. */
export interface TargetClient {
  readonly send: (request: TargetRequest) => Promise<errors.Result<TargetAnswer, TargetFailure>>;
  readonly close: () => Promise<void>;
}

const connectTimeoutMs = 1_000;
const resetCode = 'ERR_TARGET_RESET';
const resetCodes = new Set(['ECONNRESET', 'UND_ERR_SOCKET', 'EPIPE', resetCode]);

const codeOf = (cause: unknown): string =>
  cause instanceof Error && 'code' in cause ? String(cause.code) : '';

/**
 * Opens connections whose reset has a code of its own. undici takes ECONNRESET for the regular end of an
 * answer without a length, which would make a cut-off answer look whole.
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

/** How long an idle connection is kept unless the target says how long it keeps it. */
const defaultKeepAliveMs = 4_000;

/** Creates a client that opens a connection for each request in progress; `keepMs` is for idle ones. */
export const createTargetClient = (
  localAddress: string | undefined,
  keepAliveMs = defaultKeepAliveMs,
): TargetClient => {
  const agent = new undici.Agent({
    connect: createConnector(localAddress),
    // Admission bounds how many requests a target has; a bound here would hold back admitted ones.
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
