import type * as http from 'node:http';
import * as errors from '@comfreydrum/errors';
import * as fleet from '@comfreydrum/fleet';
import * as lifecycle from '@comfreydrum/lifecycle';
import { admitRequest, noPlanRefusal } from './admitRequest';
import type { CallerRequest } from './CallerRequest';
import { chooseService } from './chooseService';
import { discardBody } from './discardBody';
import { fingerprintRequest } from './crashes/fingerprintRequest';
import { limitBody, readBody, type BodyMemory } from './readBody';
import { releaseWithResponse } from './memory/releaseWithResponse';
import { refuseLargeBody } from './refuseLargeBody';
import { createNotRunRefusal, createShutdownRefusal, type Refusal } from './Refusal';
import type { RelayDependencies } from './RelayDependencies';
import type { RequestContext } from './RequestContext';
import { serveExchange } from './serveExchange';
import type { ServeResult } from './ServeResult';
import { serveStream } from './serveStream';
import { targetPriorityOf } from './placing/targetPriorityOf';
import { sharedPartIdsOf } from './sharedPartIdsOf';
import { untilAborted } from './untilAborted';
import { watchCaller } from './watchCaller';
import { writeRefusal } from './writeRefusal';

const noServiceRetryAfterMs = 500;
/** Used until the durations of a route are known. */
const fullMemoryRetryAfterMs = 1_000;
const maxLoggedParts = 16;

const refused = (refusal: Refusal): ServeResult => ({ kind: 'refused', refusal });

/** Creates a check, called when a request is sent, of whether the caller's key is still valid. */
const createKeyCheck =
  (dependencies: RelayDependencies, request: CallerRequest, needsKey: boolean) => () => {
    if (!needsKey) return true;
    if (dependencies.plan.ageMs() > dependencies.keyValidityMs) return false;
    return dependencies.plan.current()?.customersByKey?.has(request.key ?? '') ?? false;
  };

const bodyMemoryFor = (
  { bodyBudget, durations }: RelayDependencies,
  plan: fleet.TrafficPlan,
  { host, path }: CallerRequest,
): BodyMemory => {
  const route = fleet.findRoute(plan, host, path);
  const usualMs = route && durations.meanMs(route.name);
  return { budget: bodyBudget, retryAfterMs: usualMs ?? fullMemoryRetryAfterMs };
};

/** The result of a request, with its fingerprint if its body was read. */
type FingerprintedResult = ServeResult & { readonly fingerprint?: string };

const serve = async (
  dependencies: RelayDependencies,
  request: CallerRequest,
  message: http.IncomingMessage,
  response: http.ServerResponse,
  mustEnd: AbortSignal,
): Promise<FingerprintedResult> => {
  const arrivedAtMs = dependencies.clock.monotonicMs();
  const callerDisconnected = watchCaller(message, response);
  const knownPlan = dependencies.plan.current();
  if (knownPlan === undefined) return refused(noPlanRefusal);
  // Pieces of the body would pile up unread while a request waits to be admitted.
  const memory = bodyMemoryFor(dependencies, knownPlan, request);
  const reading = readBody(message, knownPlan.limits, memory, mustEnd);
  const admission = await untilAborted(admitRequest(dependencies, request), mustEnd);
  if (admission === undefined || admission.kind === 'refused') {
    reading.abandon();
    return admission ?? refused(createShutdownRefusal());
  }
  const { plan, route, customer } = admission;
  const customerName = customer?.name;
  const strictestPlan = plan.limits.maxBodyBytes < knownPlan.limits.maxBodyBytes ? plan : knownPlan;
  const body = limitBody(await reading.result, strictestPlan.limits);
  if (body.kind === 'refused' && body.refusal.cause === 'body-too-large') {
    const refusing = refuseLargeBody(dependencies, strictestPlan, body.refusal);
    return refused((await untilAborted(refusing, mustEnd)) ?? createShutdownRefusal());
  }
  if (body.kind !== 'body') return body;
  const receivedAtMs = dependencies.clock.monotonicMs();
  releaseWithResponse(body.holding, response);
  await lifecycle.pollConnections();
  if (callerDisconnected.aborted) return { kind: 'caller-gone' };
  const service = chooseService(plan, route, dependencies.random());
  if (service === undefined) {
    const text = `route ${route.name} names no service of revision ${plan.revision}`;
    return refused(createNotRunRefusal('no-target', text, noServiceRetryAfterMs));
  }
  const fingerprint = fingerprintRequest(dependencies.hasher, request, customerName, body.bytes);
  const timeLimitMs = Math.min(route.timeoutMs, request.timeLimitMs ?? Infinity);
  const context: RequestContext = {
    request,
    planRevision: plan.revision,
    route,
    service,
    customerName,
    customerPriority: customer?.priority,
    targetPriority: targetPriorityOf(plan, service, route, customer),
    body: body.bytes,
    fingerprint,
    sharedPartIds: sharedPartIdsOf(request),
    response,
    arrivedAtMs,
    receivedAtMs,
    deadlineAtMs: arrivedAtMs + timeLimitMs,
    callerDisconnected,
    mustEnd,
    isStillAuthorized: createKeyCheck(dependencies, request, customerName !== undefined),
  };
  dependencies.metrics.requests.add({ route: route.name });
  // A request that was handed over has been counted by the daemon that received it.
  if (request.handover === undefined) {
    dependencies.retryBudgets.of(service.name).onFirstAttempt();
    const { modelName, size } = request;
    dependencies.demandCounter.record({ service, modelName, size, fingerprint });
  }
  const result =
    route.kind === 'stream'
      ? await serveStream(dependencies, context)
      : await serveExchange(dependencies, context);
  const outcome = result.kind === 'refused' ? result.refusal.cause : result.kind;
  dependencies.metrics.outcomes.add({ route: route.name, outcome });
  if (result.kind === 'answered') {
    const tookMs = dependencies.clock.monotonicMs() - arrivedAtMs;
    dependencies.metrics.responseMs.record(tookMs);
    dependencies.durations.record(route.name, tookMs);
  }
  return { ...result, fingerprint };
};

const toLogFields = (result: ServeResult): Readonly<Record<string, unknown>> => {
  if (result.kind === 'answered') {
    const { kind, statusCode, timing } = result;
    return { kind, statusCode, ...timing };
  }
  if (result.kind !== 'refused') return result;
  const { cause, statusCode, ran, message, retryAfterMs, decidedBy } = result.refusal;
  const decision =
    decidedBy === undefined
      ? {}
      : {
          decidedByRevision: decidedBy.revision,
          decidedByAgeMs: Math.round(decidedBy.ageMs),
          planConfirmedBy: decidedBy.confirmedBy,
        };
  return { kind: result.kind, cause, statusCode, ran, message, retryAfterMs, ...decision };
};

/** Serves one request of a caller up to the final response; never rejects. */
export const serveRequest = async (
  dependencies: RelayDependencies,
  message: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> => {
  const { log, callerWire, clock } = dependencies;
  const arrivedAtMs = clock.monotonicMs();
  const request = callerWire.readRequest(message);
  const listAgeMs = dependencies.directory.ageMs();
  const { signal: mustEnd, release } = dependencies.drain.watchEnd();
  let result: FingerprintedResult;
  try {
    result = await serve(dependencies, request, message, response, mustEnd);
  } catch (cause) {
    log.error(
      { requestId: request.requestId, step: 'serve', cause: errors.describeCause(cause) },
      'serving a request failed',
    );
    const text = 'the daemon failed while it served the request';
    result = refused({ cause: 'internal', statusCode: 502, ran: 'unknown', message: text });
  } finally {
    release();
  }
  const isCutOff = result.kind === 'refused' && response.headersSent;
  if (result.kind === 'refused') {
    if (isCutOff) dependencies.metrics.cutOffResponses.add({ cause: result.refusal.cause });
    const isDraining = dependencies.drain.elapsedMs() !== undefined;
    if (isDraining && !response.headersSent) response.setHeader('connection', 'close');
    writeRefusal(response, result.refusal, callerWire.responseHeaders(request, result.refusal.ran));
    discardBody(dependencies, message);
  }
  const plan = dependencies.plan.current();
  const sharedPartIds = sharedPartIdsOf(request).slice(0, maxLoggedParts);
  const placement = dependencies.placing.recordOf(request);
  const waitedMs = dependencies.dispatchQueues.waitedMsOf(request);
  const drainingMs = dependencies.drain.elapsedMs();
  log.info(
    {
      requestId: request.requestId,
      step: 'request',
      path: request.path,
      model: request.modelName,
      fingerprint: result.fingerprint,
      ...(sharedPartIds.length > 0 ? { sharedPartIds } : {}),
      tookMs: Math.round(clock.monotonicMs() - arrivedAtMs),
      planRevision: plan?.revision,
      planAgeMs: Math.round(dependencies.plan.ageMs()),
      listAgeMs: Math.round(listAgeMs),
      ...toLogFields(result),
      ...(placement === undefined
        ? {}
        : {
            predictedFirstEventMs: Math.round(placement.predictedFirstEventMs),
            candidateCount: placement.candidateCount,
            reportAgeMs: Math.round(placement.reportAgeMs),
          }),
      ...(waitedMs === undefined ? {} : { waitedMs: Math.round(waitedMs) }),
      ...(isCutOff ? { isCutOff } : {}),
      ...(drainingMs === undefined ? {} : { drainingMs: Math.round(drainingMs) }),
      ...(request.handover === undefined ? {} : { isHandedOver: true }),
    },
    'request ended',
  );
};
