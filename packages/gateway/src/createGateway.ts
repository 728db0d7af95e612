import * as http from 'node:http';
import * as https from 'node:https';
import { setTimeout as delay } from 'node:timers/promises';
import * as tinyhttp from '@tinyhttp/app';
import * as errors from '@comfreydrum/errors';
import * as routing from '@comfreydrum/routing';
import * as telemetry from '@comfreydrum/telemetry';
import * as intake from '@comfreydrum/intake';
import * as lifecycle from '@comfreydrum/lifecycle';
import * as targetClient from '@comfreydrum/target-client';
import { createCacheEventPoller } from './createCacheEventPoller';
import { createCallerDirectory } from './createCallerDirectory';
import { createCrashGuard } from './createCrashGuard';
import { createCustomerLimits } from './createCustomerLimits';
import { createGatewayMetrics } from './createGatewayMetrics';
import { createInFlightAttempts } from './createInFlightAttempts';
import { createPools } from './createPools';
import { createRetryBudgets } from './createRetryBudgets';
import { createServiceGenerations } from './createServiceGenerations';
import type { GatewayDependencies } from './GatewayDependencies';
import type { GatewayParts } from './GatewayParts';
import { serveCaller } from './serveCaller';

/** The component of a daemon that serves callers. */
export interface Gateway {
  readonly component: lifecycle.Component;
  readonly statistics: () => { readonly openRequests: number; readonly draining: boolean };
  /** Reports whether the daemon accepts callers, with the reason. */
  readonly readiness: () => { readonly ready: boolean; readonly reason: string };
  /** Fails the readiness check; requests in progress continue and the daemon does not stop. */
  readonly drain: () => void;
}

const drainPollMs = 50;

/** Creates the gateway. It listens once its component is started. */
export const createGateway = (dependencies: GatewayDependencies): Gateway => {
  const { clock, limits, listen, log, timeline } = dependencies;
  const targets = targetClient.createTargetClient(dependencies.localAddress);
  const inFlight = createInFlightAttempts();
  const callers = createCallerDirectory(dependencies.configuration);
  const generations = createServiceGenerations();
  const guard = createCrashGuard({
    link: dependencies.link,
    clock,
    timeline,
    onLost: generations.onLost,
  });
  const customers = createCustomerLimits(dependencies.link, clock);
  const cacheEventPoller = createCacheEventPoller({
    clock,
    log,
    targets,
    random: routing.createRandom(dependencies.randomSeed),
    daemonCount: () => dependencies.link.liveIds().length,
  });
  const stopPeriod = lifecycle.createDrainPeriod({
    nowMs: clock.monotonicMs,
    noticeMs: dependencies.noticeMs,
    durationMs: dependencies.noticeMs + dependencies.drainTimeoutMs,
  });
  const parts: GatewayParts = {
    dependencies,
    targets,
    inFlight,
    metrics: createGatewayMetrics(dependencies.metrics),
    pools: createPools(dependencies, cacheEventPoller, generations),
    guard,
    customers,
    retryBudgets: createRetryBudgets(),
    lookups: routing.createLookupCache(),
    stopPeriod,
  };
  let openRequests = 0;
  let isDraining = false;

  const isReady = () => {
    if (isDraining) return { ready: false, reason: 'the daemon is draining' };
    return dependencies.readiness();
  };

  const app = new tinyhttp.App({
    settings: { xPoweredBy: false },
    // The handlers use none of the tinyhttp extensions, and each one would be created for every request.
    applyExtensions: (_request, _response, next) => next(),
    noMatchHandler: (request, response) => {
      openRequests += 1;
      response.once('close', () => {
        openRequests -= 1;
      });
      if (isDraining) response.setHeader('connection', 'close');
      void serveCaller(parts, callers, request, response);
    },
    onError: (cause, _request, response) => {
      log.error({ cause: errors.describeCause(cause) }, 'request failed');
      response.destroy();
    },
  });
  app.get('/livez', (_request, response) => {
    response.writeHead(200).end('live\n');
  });
  app.get('/readyz', (_request, response) => {
    const { ready, reason } = isReady();
    response.writeHead(ready ? 200 : 503).end(`${reason}\n`);
  });

  const pacer = intake.createReadPacer();
  const gate = intake.createRequestGate({
    maxRequestsPerConnection: limits.maxRequestsPerConnection,
    maxRequests: Infinity,
    maxHeaderFields: Infinity,
    pacer,
  });
  const serverOptions = {
    IncomingMessage: gate.IncomingMessage,
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headerTimeoutMs,
    requestTimeout: limits.headerTimeoutMs + limits.bodyTimeoutMs,
    keepAliveTimeout: 65_000,
    noDelay: true,
  };
  const serveWithApp = app.handler.bind(app) as unknown as http.RequestListener;
  const handler: http.RequestListener = (request, response) => {
    if (gate.enter(request, response) === undefined) serveWithApp(request, response);
  };
  const server = dependencies.tls
    ? https.createServer(
        { ...serverOptions, cert: dependencies.tls.certificate, key: dependencies.tls.key },
        handler,
      )
    : http.createServer(serverOptions, handler);
  server.maxConnections = limits.maxConnections;
  server.on(dependencies.tls ? 'secureConnection' : 'connection', pacer.add);
  const acceptQueue = lifecycle.createAcceptQueue(server);
  server.on('tlsClientError', telemetry.createTlsFailureCounter(dependencies.metrics, 'gateway'));

  const unsubscribeBroken = dependencies.groups.onBroken((groupId, generation, reason) => {
    timeline.record('group stopped', { groupId, generation, text: reason });
    guard.onGroupBroken(groupId, generation);
    inFlight.abortGroup(groupId, generation, reason);
  });

  const start = async () => {
    await lifecycle.listen(server, listen);
    customers.start();
    cacheEventPoller.start();
  };

  const stop = async () => {
    isDraining = true;
    stopPeriod.begin();
    timeline.record('drain started', { text: `${openRequests} requests open` });
    await delay(dependencies.noticeMs);
    await acceptQueue.drain(dependencies.drainTimeoutMs / 2);
    server.close();
    server.closeIdleConnections();
    while (openRequests > 0 && stopPeriod.remainingMs() > 0) {
      await delay(drainPollMs);
      server.closeIdleConnections();
    }
    timeline.record('drain ended', { text: `${openRequests} requests open` });
    server.closeAllConnections();
    unsubscribeBroken();
    guard.stop();
    customers.stop();
    cacheEventPoller.stop();
    await targets.close();
  };

  return {
    component: { name: 'gateway', start, stop },
    statistics: () => ({ openRequests, draining: isDraining }),
    readiness: isReady,
    drain: () => {
      isDraining = true;
    },
  };
};
