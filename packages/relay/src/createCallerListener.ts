import * as http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import * as tinyhttp from '@tinyhttp/app';
import * as errors from '@comfreydrum/errors';
import * as lifecycle from '@comfreydrum/lifecycle';
import { createShutdownRefusal } from './Refusal';
import type { RelayDependencies } from './RelayDependencies';
import { serveRequest } from './serveRequest';
import { writeRefusal } from './writeRefusal';

/** The HTTP listener for callers. */
export interface CallerListener {
  readonly component: lifecycle.Component;
  readonly hasReceivedRequests: () => boolean;
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
  let openRequestCount = 0;
  let hasReceivedRequest = false;

  /** Applies the idle timeout of the current plan; assigned once the server exists. */
  let applyIdleTimeout = () => {};
  /** Assigned once the server exists. */
  let acceptQueue: lifecycle.AcceptQueue;

  const app = new tinyhttp.App({
    settings: { xPoweredBy: false },
    // Forwarded requests use none of tinyhttp's request and response extensions.
    applyExtensions: (_request, _response, next) => next(),
    noMatchHandler: (request, response) => {
      openRequestCount += 1;
      hasReceivedRequest = true;
      response.once('close', () => {
        openRequestCount -= 1;
      });
      if (drain.elapsedMs() !== undefined) response.setHeader('connection', 'close');
      if (acceptQueue.isLate(request.socket)) {
        const refusal = createShutdownRefusal();
        const callerRequest = callerWire.readRequest(request);
        writeRefusal(response, refusal, callerWire.responseHeaders(callerRequest, refusal.ran));
        const { requestId } = callerRequest;
        const { cause, statusCode } = refusal;
        log.info(
          { requestId, step: 'request', kind: 'refused', cause, statusCode },
          'request ended',
        );
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
  const server: http.Server = http.createServer(
    { keepAliveTimeout: defaultIdleTimeoutMs + keepAliveMarginMs, noDelay: true },
    app.handler.bind(app) as unknown as http.RequestListener,
  );

  acceptQueue = lifecycle.createAcceptQueue(server);

  applyIdleTimeout = () => {
    const { idleTimeoutMs = defaultIdleTimeoutMs } = plan.current()?.limits ?? {};
    server.keepAliveTimeout = idleTimeoutMs + keepAliveMarginMs;
  };

  const beginDrain = () => {
    if (drain.elapsedMs() !== undefined) return;
    drain.begin();
    log.info({ step: 'drain', openRequests: openRequestCount }, 'draining');
  };

  return {
    hasReceivedRequests: () => hasReceivedRequest,
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
          if (openRequestCount > 0 || acceptQueue.quietMs() < firstRequestMs) idleSinceMs = nowMs;
          if (nowMs - idleSinceMs >= minIdleMs) break;
          await delay(drainPollMs);
        }
        log.info({ step: 'drain', openRequests: openRequestCount }, 'drained');
        drain.end();
        const closeAtMs = clock.monotonicMs() + finalAnswerMs;
        while (openRequestCount > 0 && clock.monotonicMs() < closeAtMs) await delay(drainPollMs);
        server.closeAllConnections();
      },
    },
  };
};
