import * as http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import * as tinyhttp from '@tinyhttp/app';
import * as errors from '@comfreydrum/errors';
import * as lifecycle from '@comfreydrum/lifecycle';
import type { RelayParts } from './RelayParts';
import { serveRequest } from './serveRequest';

/** The listener for callers. */
export interface Front {
  readonly part: lifecycle.Part;
  readonly isDraining: () => boolean;
  readonly hasSeenCallers: () => boolean;
  /** Stops being ready and asks callers to go elsewhere; requests are served as before. */
  readonly drain: () => void;
}

/** Where callers connect, and how long a stop may take. */
export interface FrontOptions {
  readonly host: string;
  readonly port: number;
  /** How long callers are still accepted after readiness has failed. */
  readonly noticeMs: number;
  /** How long requests in progress may take after that. */
  readonly drainTimeoutMs: number;
}

/** The plan's idle limit is for callers; a connection is kept a little longer so that none is cut in use. */
const keepAliveMarginMs = 3_000;
const defaultIdleTimeoutMs = 15_000;
const drainPollMs = 25;
/** The listener ends once no request was open for this long: one may just be on its way in. */
const minIdleMs = 100;

/** Creates the listener; it accepts callers once its part is started. */
export const createFront = (dependencies: RelayParts, options: FrontOptions): Front => {
  const { clock, log, plan } = dependencies;
  let openRequestCount = 0;
  let isDraining = false;
  let hasReceivedRequest = false;

  /** Keeps idle connections for as long as the plan in force says; set with the server. */
  let applyIdleTimeout = () => {};

  const app = new tinyhttp.App({
    settings: { xPoweredBy: false },
    // Requests that are passed on use none of the extensions.
    applyExtensions: (_request, _response, next) => next(),
    noMatchHandler: (request, response) => {
      openRequestCount += 1;
      hasReceivedRequest = true;
      response.once('close', () => {
        openRequestCount -= 1;
      });
      if (isDraining) response.setHeader('connection', 'close');
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

  applyIdleTimeout = () => {
    const { idleTimeoutMs = defaultIdleTimeoutMs } = plan.current()?.limits ?? {};
    server.keepAliveTimeout = idleTimeoutMs + keepAliveMarginMs;
  };

  const drain = () => {
    if (isDraining) return;
    isDraining = true;
    log.info({ step: 'drain', openRequests: openRequestCount }, 'draining');
  };

  return {
    isDraining: () => isDraining,
    hasSeenCallers: () => hasReceivedRequest,
    drain,
    part: {
      name: 'front',
      start: () => lifecycle.listen(server, options),
      stop: async () => {
        drain();
        const startedAtMs = clock.monotonicMs();
        await delay(options.noticeMs);
        const drainDeadlineMs = startedAtMs + options.noticeMs + options.drainTimeoutMs;
        server.close();
        let idleSinceMs = clock.monotonicMs();
        while (clock.monotonicMs() < drainDeadlineMs) {
          server.closeIdleConnections();
          const nowMs = clock.monotonicMs();
          if (openRequestCount > 0) idleSinceMs = nowMs;
          if (nowMs - idleSinceMs >= minIdleMs) break;
          await delay(drainPollMs);
        }
        log.info({ step: 'drain', openRequests: openRequestCount }, 'drained');
        server.closeAllConnections();
      },
    },
  };
};
