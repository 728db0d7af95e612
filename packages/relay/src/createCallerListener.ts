import * as http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import * as tinyhttp from '@tinyhttp/app';
import * as errors from '@comfreydrum/errors';
import * as intake from '@comfreydrum/intake';
import * as lifecycle from '@comfreydrum/lifecycle';
import {
  createBusyRefusal,
  createShutdownRefusal,
  noHostRefusal,
  unmetExpectationRefusal,
  type Refusal,
} from './Refusal';
import { discardBody } from './discardBody';
import type { RelayDependencies } from './RelayDependencies';
import { serveRequest } from './serveRequest';
import { writeRefusal } from './writeRefusal';

/** The HTTP listener for callers. */
export interface CallerListener {
  readonly component: lifecycle.Component;
  readonly hasReceivedRequests: () => boolean;
  readonly openRequestCount: () => number;
  readonly connectionCount: () => number;
  /** Returns the numbers of connections closed because of what their callers sent, by reason. */
  readonly closedConnections: () => Readonly<Record<'requests-ahead' | 'too-many', number>>;
  /** Returns how often a connection has had to wait for its turn to be read, as its body came in many small pieces. */
  readonly deferredReadCount: () => number;
  /** Marks the daemon as draining and requests that callers close their connections; requests are still served. */
  readonly drain: () => void;
}

/** The address that callers connect to, and the timing of a shutdown. */
export interface CallerListenerOptions {
  readonly host: string;
  readonly port: number;
  /** How long new connections are still accepted once the daemon is no longer ready. */
  readonly noticeMs: number;
  /** How long requests in progress may take after the notice period. */
  readonly drainTimeoutMs: number;
  readonly gate: intake.GateOptions;
  readonly maxConnections: number;
}

/**
 * Margin of the keep-alive timeout over the idle timeout of the plan, which callers follow. It prevents a connection
 * from being closed while a caller sends a request on it.
 */
const keepAliveMarginMs = 3_000;
const defaultIdleTimeoutMs = 15_000;
/** Time to answer the requests that are still in progress when the time to drain is over. */
const finalAnswerMs = 200;
const drainPollMs = 25;
/** Time without open requests before the listener closes, since a request may still be arriving. */
const minIdleMs = 100;
/** Time in which a caller that has connected sends its request, even if it is short of processor time. */
const firstRequestMs = 500;

/** Creates the listener; it accepts connections once its part is started. */
export const createCallerListener = (
  dependencies: RelayDependencies,
  options: CallerListenerOptions,
): CallerListener => {
  const { clock, log, plan, callerWire, drain } = dependencies;
  const pacer = intake.createReadPacer();
  const gate = intake.createRequestGate({ ...options.gate, pacer });
  let hasReceivedRequest = false;

  /** Applies the idle timeout of the current plan; assigned once the server exists. */
  let applyIdleTimeout = () => {};
  /** Assigned once the server exists. */
  let acceptQueue: lifecycle.AcceptQueue;
  let connections: intake.ConnectionLimit;

  const refuse = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    refusal: Refusal,
  ) => {
    const callerRequest = callerWire.readRequest(request);
    writeRefusal(response, refusal, callerWire.responseHeaders(callerRequest, refusal.ran));
    discardBody(dependencies, request);
    const { requestId } = callerRequest;
    const { cause, statusCode } = refusal;
    log.info({ requestId, step: 'request', kind: 'refused', cause, statusCode }, 'request ended');
  };

  const app = new tinyhttp.App({
    settings: { xPoweredBy: false },
    // Forwarded requests use none of tinyhttp's request and response extensions.
    applyExtensions: (_request, _response, next) => next(),
    noMatchHandler: (request, response) => {
      hasReceivedRequest = true;
      if (drain.elapsedMs() !== undefined) response.setHeader('connection', 'close');
      if (acceptQueue.isLate(request.socket)) {
        refuse(request, response, createShutdownRefusal());
        return;
      }
      applyIdleTimeout();
      void serveRequest(dependencies, request, response);
    },
    onError: (cause, _request, response) => {
      log.error({ step: 'front', cause: errors.describeCause(cause) }, 'request failed');
      response.destroy();
    },
  });
  const serveWithApp = app.handler.bind(app) as unknown as http.RequestListener;

  const serveWithinLimits: http.RequestListener = (request, response) => {
    const refusedBy = gate.enter(request, response);
    if (refusedBy === 'closed') return;
    connections.touch(request.socket);
    if (refusedBy === 'full') refuse(request, response, createBusyRefusal(gate.openCount()));
    else if (request.headers.host === undefined && request.httpVersion === '1.1') {
      response.setHeader('connection', 'close');
      refuse(request, response, noHostRefusal);
    } else serveWithApp(request, response);
  };

  const server: http.Server = http.createServer(
    {
      keepAliveTimeout: defaultIdleTimeoutMs + keepAliveMarginMs,
      noDelay: true,
      // Node.js would answer a request without a host by itself, past the gate.
      requireHostHeader: false,
      IncomingMessage: gate.IncomingMessage,
    },
    serveWithinLimits,
  );
  server.on('connection', pacer.add);
  connections = intake.limitConnections(server, {
    maxConnections: options.maxConnections,
    gate,
  });
  server.on('checkExpectation', (request, response) => {
    if (gate.enter(request, response) === 'closed') return;
    response.setHeader('connection', 'close');
    refuse(request, response, unmetExpectationRefusal);
  });

  acceptQueue = lifecycle.createAcceptQueue(server);

  applyIdleTimeout = () => {
    const { idleTimeoutMs = defaultIdleTimeoutMs } = plan.current()?.limits ?? {};
    server.keepAliveTimeout = idleTimeoutMs + keepAliveMarginMs;
  };

  const beginDrain = () => {
    if (drain.elapsedMs() !== undefined) return;
    drain.begin();
    log.info({ step: 'drain', openRequests: gate.openCount() }, 'draining');
  };

  return {
    hasReceivedRequests: () => hasReceivedRequest,
    openRequestCount: gate.openCount,
    connectionCount: connections.connectionCount,
    closedConnections: () => ({
      'requests-ahead': gate.closedCount(),
      'too-many': connections.closedCount(),
    }),
    deferredReadCount: pacer.deferralCount,
    drain: beginDrain,
    component: {
      name: 'front',
      start: () => lifecycle.listen(server, options),
      stop: async () => {
        beginDrain();
        await delay(Math.max(0, options.noticeMs - (drain.elapsedMs() ?? 0)));
        await acceptQueue.drain(Math.min(options.drainTimeoutMs / 2, drain.remainingMs()));
        server.close();
        let idleSinceMs = clock.monotonicMs();
        while (drain.remainingMs() > 0) {
          await lifecycle.pollConnections();
          server.closeIdleConnections();
          const nowMs = clock.monotonicMs();
          if (gate.openCount() > 0 || acceptQueue.quietMs() < firstRequestMs) idleSinceMs = nowMs;
          if (nowMs - idleSinceMs >= minIdleMs) break;
          await delay(drainPollMs);
        }
        log.info({ step: 'drain', openRequests: gate.openCount() }, 'drained');
        drain.end();
        const closeAtMs = clock.monotonicMs() + finalAnswerMs;
        while (gate.openCount() > 0 && clock.monotonicMs() < closeAtMs) await delay(drainPollMs);
        server.closeAllConnections();
      },
    },
  };
};
