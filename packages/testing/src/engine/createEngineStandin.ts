import { randomUUID } from 'node:crypto';
import * as undici from 'undici';
import * as zod from 'zod';
import { createRandom } from '../createRandom';
import { createHttpStandin } from '../http/createHttpStandin';
import type { Standin, StandinCall, StandinRoute } from '../http/createHttpStandin';
import { sendJson } from '../http/sendJson';
import { parseChat, parseCompletion } from './CompletionRequest';
import type { CompletionRequest } from './CompletionRequest';
import { createBatch } from './createBatch';
import { createCacheEventLog } from './createCacheEventLog';
import { createGroupMember } from './createGroupMember';
import { createLaggingLoad } from './createLaggingLoad';
import { createPrefixCache } from './createPrefixCache';
import { createRequestRunner } from './createRequestRunner';
import type { EngineOptions } from './EngineOptions';
import { createEventFaults, eventFaultsSchema } from './EventFaults';
import { orderSchema } from './OrderMessage';
import type { ServedRequest } from './ServedRequest';

/** The engine stand-in, with its controls for tests in the same process. */
export interface EngineStandin extends Standin {
  readonly served: () => readonly ServedRequest[];
  /** Reports the instance as leaving from now on; it still serves requests. */
  readonly leave: () => void;
  /** Reports whether no request of this instance's group is in progress. */
  readonly isIdle: () => Promise<boolean>;
}

const requestIdSchema = zod.object({ requestId: zod.string() });
const leaderTimeoutMs = 1_000;
const importSchema = requestIdSchema.extend({ blob: zod.string() });

const sendError = (call: StandinCall, status: number, code: string, message: string) =>
  sendJson(call.response, status, { error: { type: code, code, message } });

const fillDefaults = (options: EngineOptions) => ({
  ...options,
  listen: options.listen ?? '127.0.0.1:0',
  instanceId: options.instanceId ?? randomUUID(),
  tokenMs: options.tokenMs ?? 5,
  tokenMsPerRunning: options.tokenMsPerRunning ?? 0.1,
  prefillMsPerToken: options.prefillMsPerToken ?? 0.02,
  maxRunning: options.maxRunning ?? 64,
  loadMs: options.loadMs ?? 50,
  cacheTokens: options.cacheTokens ?? 65_536,
  loadLagMs: options.loadLagMs ?? 200,
  cacheEventDelayMs: options.cacheEventDelayMs ?? 300,
  cacheEventLossFraction: options.cacheEventLossFraction ?? 0.05,
  fencing: options.fencing ?? ('ignored' as const),
  onCrash: options.onCrash ?? (() => process.exit(70)),
});

/** Creates a stand-in for one instance of a model engine. */
export const createEngineStandin = (givenOptions: EngineOptions = {}): EngineStandin => {
  const options = fillDefaults(givenOptions);
  const random = createRandom(options.randomSeed ?? 1);
  const cacheEvents = createCacheEventLog({
    delayMs: options.cacheEventDelayMs,
    lossFraction: options.cacheEventLossFraction,
    random,
  });
  const cache = createPrefixCache(options.cacheTokens, cacheEvents.add);
  // Set below, once the runner exists; the runner itself needs the member.
  const unloadCallback: { run: () => void } = { run: () => {} };
  const member = createGroupMember({
    instanceId: options.instanceId,
    loadMs: options.loadMs,
    fencing: options.fencing,
    localAddress: options.localAddress,
    onUnload: () => unloadCallback.run(),
  });
  const batch = createBatch({ ...options, isStalled: member.isStalled });
  const faults = createEventFaults();
  const { crashOn, onCrash } = options;
  const runner = createRequestRunner({
    batch,
    cache,
    member,
    faults,
    onServed: options.onServed ?? (() => {}),
    crashOn,
    onCrash,
  });
  unloadCallback.run = () => {
    runner.cancelAll();
    cache.clear();
  };
  const load = createLaggingLoad(options.loadLagMs, () => ({
    running: batch.runningCount(),
    waiting: batch.waitingCount(),
    maxRunning: options.maxRunning,
    kvUsedFraction: cache.usedFraction(),
    atMs: Date.now(),
  }));

  const isForOtherGroup = (call: StandinCall): boolean => {
    const { groupId, generation } = member.presence();
    const requestedGroupId = call.request.headers['x-group-id'];
    const requestedGeneration = call.request.headers['x-generation'];
    return (
      (requestedGroupId !== undefined && requestedGroupId !== groupId) ||
      (requestedGeneration !== undefined && requestedGeneration !== String(generation))
    );
  };

  const handleCompletion =
    (parse: (body: unknown) => CompletionRequest | string) => (call: StandinCall) => {
      const request = parse(call.body);
      const { groupId, generation } = member.presence();
      if (typeof request === 'string') {
        sendError(call, 400, 'invalid_request_error', request);
      } else if (options.fencing === 'checked' && isForOtherGroup(call)) {
        sendError(call, 409, 'wrong_group', `loaded is ${groupId} at generation ${generation}`);
      } else if (!member.isServing()) {
        sendError(call, 503, 'not_ready', `instance ${options.instanceId} serves no group`);
      } else if (!member.hasLoaded(request.model)) {
        sendError(call, 404, 'model_not_found', `model "${request.model}" is not loaded`);
      } else runner.run(call, request);
    };

  const handleOrder = (call: StandinCall) => {
    const parsed = orderSchema.safeParse(call.body);
    if (!parsed.success) {
      sendError(call, 400, 'invalid_request_error', parsed.error.message);
    } else if (member.applyOrder(parsed.data) === 'refused') {
      sendError(call, 409, 'old_generation', `generation ${parsed.data.generation} is too old`);
    } else sendJson(call.response, 200, { phase: member.presence().phase });
  };

  const handleCancel = (call: StandinCall) => {
    const parsed = requestIdSchema.safeParse(call.body);
    const isCancelled = parsed.success && runner.cancel(parsed.data.requestId);
    sendJson(call.response, isCancelled ? 200 : 404, { cancelled: isCancelled });
  };

  const exportCache = (call: StandinCall) => {
    const parsed = requestIdSchema.safeParse(call.body);
    const prompt = parsed.success ? runner.findPrompt(parsed.data.requestId) : undefined;
    if (prompt === undefined) sendError(call, 404, 'not_found', 'no such request is running');
    else sendJson(call.response, 200, { blob: Buffer.from(prompt).toString('base64') });
  };

  const importCache = (call: StandinCall) => {
    const parsed = importSchema.safeParse(call.body);
    if (!parsed.success) {
      sendError(call, 400, 'invalid_request_error', parsed.error.message);
      return;
    }
    cache.lookUpAndStore(Buffer.from(parsed.data.blob, 'base64').toString());
    sendJson(call.response, 200, {});
  };

  const controlFaults = (call: StandinCall) => {
    const parsed = eventFaultsSchema.safeParse(call.body);
    if (parsed.success) faults.set(parsed.data);
    sendJson(call.response, parsed.success ? 200 : 400, {});
  };

  const isLeaderIdle = async (url: string): Promise<boolean> => {
    try {
      const response = await undici.request(`${url}/control/active`, {
        signal: AbortSignal.timeout(leaderTimeoutMs),
      });
      const { activeCount } = (await response.body.json()) as { activeCount: number };
      return activeCount === 0;
    } catch {
      return true;
    }
  };

  // A member takes part in every step of its leader's batch, so it is busy while the leader is.
  const isIdle = async () => {
    const leaderUrl = member.leaderUrl();
    return runner.activeCount() === 0 && (leaderUrl === undefined || isLeaderIdle(leaderUrl));
  };

  const respondWith = (read: (call: StandinCall) => unknown) => (call: StandinCall) =>
    sendJson(call.response, 200, read(call));

  let isLeaving = false;
  const routes: readonly StandinRoute[] = [
    { method: 'POST', path: '/v1/chat/completions', handle: handleCompletion(parseChat) },
    { method: 'POST', path: '/v1/completions', handle: handleCompletion(parseCompletion) },
    { method: 'POST', path: '/cancel', handle: handleCancel },
    { method: 'GET', path: '/load', handle: respondWith(load.read) },
    {
      method: 'GET',
      path: '/cache-events',
      handle: respondWith(({ query }) =>
        cacheEvents.read(Number(query.get('since') ?? 0), Number(query.get('limit') ?? Infinity)),
      ),
    },
    { method: 'POST', path: '/kv/export', handle: exportCache },
    { method: 'POST', path: '/kv/import', handle: importCache },
    { method: 'POST', path: '/orders', handle: handleOrder },
    {
      method: 'GET',
      path: '/presence',
      handle: respondWith(() => ({ ...member.presence(), leaving: isLeaving })),
    },
    {
      method: 'GET',
      path: '/control/active',
      handle: respondWith(() => ({ activeCount: runner.activeCount() })),
    },
    { method: 'POST', path: '/control/faults', handle: controlFaults },
    {
      method: 'GET',
      path: '/control/served',
      handle: respondWith(() => ({ served: runner.served() })),
    },
  ];
  const server = createHttpStandin(options.listen, routes);

  const preload = (model: string, url: string) =>
    member.applyOrder({
      order: 'load',
      groupId: 'preloaded',
      generation: 1,
      model,
      version: '1',
      adapters: [],
      rank: 0,
      members: [{ instanceId: options.instanceId, url }],
      leaderUrl: url,
    });

  return {
    start: async () => {
      const address = await server.start();
      if (options.preloadedModel) preload(options.preloadedModel, address.url);
      return address;
    },
    stop: async () => {
      member.stop();
      load.stop();
      runner.cancelAll();
      await server.stop();
    },
    served: runner.served,
    leave: () => {
      isLeaving = true;
    },
    isIdle,
    activeCount: server.activeCount,
  };
};
