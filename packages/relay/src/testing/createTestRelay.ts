import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';
import * as routing from '@comfreydrum/routing';
import * as telemetry from '@comfreydrum/telemetry';
import * as testing from '@comfreydrum/testing';
import * as relay from '../index';

/** A target with a real HTTP listener. */
export interface TestTarget {
  readonly id: string;
  readonly listener: http.RequestListener;
}

/** The settings of a relay under test and of the targets behind it. */
export interface TestRelayOptions {
  readonly route?: Partial<fleet.Route>;
  /** Heads of open groups for a stream route, targets without groups for any other. */
  readonly targets: readonly TestTarget[];
  readonly memory?: relay.RelayOptions['memory'];
  readonly maxBodyBytes?: number;
  readonly planAgeMs?: () => number;
  /** Revision of the relay's plan. */
  readonly planRevision?: number;
  /** The plan in the store, which the relay reads when it needs a confirmation; by default the one it has. */
  readonly storedPlan?: Pick<TestRelayOptions, 'planRevision' | 'route' | 'maxBodyBytes'>;
  /** Ends once the store responds to a read of the plan; by default at once. */
  readonly planRead?: Promise<void>;
  /** Whether a probe finds a member of a silent group lost. */
  readonly confirmLoss?: () => boolean;
  readonly slots?: number;
  /** What requests cost the engine; undefined if the plan doesn't say. */
  readonly costs?: fleet.EngineCosts;
  /** Retries that the fleet allows at each service beyond those that first attempts earn. */
  readonly fleetRetryReserve?: number;
  readonly otherLoads?: () => Readonly<Record<string, number>>;
  readonly clock?: clocks.Clock;
  readonly evacuations?: fleet.Evacuations;
  /** The network of daemons that the relay joins under `name`. */
  readonly network?: testing.FakeNetwork;
  readonly name?: string;
  readonly peerAddresses?: () => readonly string[];
  readonly heedsLeaving?: boolean;
}

export interface TestRelay {
  readonly url: string;
  readonly relay: relay.Relay;
  readonly suspected: readonly string[];
  /** Ends the process of a target: its connections break and its port refuses new ones. */
  readonly endTarget: (id: string) => void;
  /** Lists a target as leaving and closes its listener; its connections stay open. */
  readonly leave: (id: string) => void;
  /** Lists another run of a target, at the same address. */
  readonly listNextRun: (id: string) => void;
  readonly stop: () => Promise<void>;
}

export const testModel = 'draft';
export const testKey = 'key-1';

const model: fleet.ServedModel = {
  name: testModel,
  groupSize: 1,
  paceFactor: 1,
  demandShare: 1,
  loadMs: 1_000,
  stagedJoinMs: 100,
};

const engine: fleet.EngineProfile = {
  slotsPerGroup: 4,
  models: [model],
  stepMs: 5,
  stepMsPerRequest: 0,
  stepsPerEvent: 4,
  promptTokensPerSecond: 50_000,
  concurrentLoads: 6,
  loadStartsPerSecond: 4,
};

const defaultRoute: fleet.Route = {
  name: 'drafts',
  host: 'desk.example',
  pathPrefix: '/drafts/',
  kind: 'stream',
  isResumable: true,
  isPublic: false,
  timeoutMs: 3_000,
  latencyTargetMs: 300,
  gapTargetMs: 300,
  priority: 1,
  maxTargets: 2,
  shares: [{ serviceName: 'service', weight: 1 }],
};

/** Prefix of a route to a service without targets. */
export const otherPathPrefix = '/another-service/';
const otherShares = [{ serviceName: 'other', weight: 1 }] as const;

const createPlan = (options: Omit<TestRelayOptions, 'targets'>): fleet.TrafficPlan => {
  const route = { ...defaultRoute, ...options.route };
  const slotsPerGroup = options.slots ?? engine.slotsPerGroup;
  return {
    revision: options.planRevision ?? 7,
    routes: [route, { ...route, name: 'other', pathPrefix: otherPathPrefix, shares: otherShares }],
    services: new Map([
      [
        'service',
        {
          name: 'service',
          maxConnections: 100,
          engine:
            route.kind === 'stream'
              ? { ...engine, slotsPerGroup, costs: options.costs }
              : undefined,
        },
      ],
      ['other', { name: 'other', maxConnections: 100, engine: undefined }],
    ]),
    customersByKey: new Map([[testKey, { name: 'court' }]]),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: options.maxBodyBytes ?? 1_024,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    },
  };
};

/** A caller wire format with short header names. */
const callerWire: relay.CallerWire = {
  readRequest: (message) => {
    const url = message.url ?? '/';
    const limit = message.headers['x-limit-ms'];
    const last = message.headers['last-event-id'];
    const runs = message.headers['x-handover'];
    const planRevision = message.headers['x-handover-plan'];
    return {
      requestId: String(message.headers['x-id']),
      method: message.method ?? 'GET',
      host: String(message.headers['x-host'] ?? defaultRoute.host),
      url,
      path: url.split('?', 1)[0]!,
      headers: relay.endToEndHeaders(
        message.rawHeaders,
        message.headers.connection,
        new Set([
          'x-key',
          'content-length',
          'last-event-id',
          'x-handover',
          'x-handover-plan',
          'x-limit-ms',
        ]),
      ),
      key: message.headers['x-key'] as string | undefined,
      timeLimitMs: limit === undefined ? undefined : Number(limit),
      modelName: message.headers['x-model'] as string | undefined,
      promptPartIds: String(message.headers['x-parts'] ?? '')
        .split(',')
        .filter((id) => id !== ''),
      lastEventId: last === undefined ? undefined : Number(last),
      handover:
        runs === undefined
          ? undefined
          : { remainingRuns: Number(runs), planRevision: Number(planRevision) },
    };
  },
  handoverHeaders: (
    { headers, key },
    { remainingMs, remainingRuns, planRevision, resumeAfterEventId },
  ) => [
    ...headers,
    'x-limit-ms',
    String(remainingMs),
    'x-handover',
    String(remainingRuns),
    'x-handover-plan',
    String(planRevision),
    ...(key === undefined ? [] : ['x-key', key]),
    ...(resumeAfterEventId === undefined ? [] : ['last-event-id', String(resumeAfterEventId)]),
  ],
  responseHeaders: ({ requestId, handover }, ran) => ({
    'x-id': requestId ?? '',
    ...(handover !== undefined && ran === 'not-run' ? { 'x-not-run': '1' } : {}),
  }),
};

/** Targets answer probes even while the listener of a test is silent. */
const probePath = '/probe';

const targetWire: relay.TargetWire = {
  requestHeaders: ({ headers, lastEventId }, dispatch) => [
    ...headers,
    'x-target',
    dispatch.targetId,
    'x-left-ms',
    String(dispatch.remainingMs),
    ...(dispatch.customerName === undefined ? [] : ['x-customer', dispatch.customerName]),
    ...((dispatch.resumeAfterEventId ?? lastEventId) === undefined
      ? []
      : ['last-event-id', String(dispatch.resumeAfterEventId ?? lastEventId)]),
  ],
  probeRequest: () => ({ path: probePath, headers: {} }),
  decodeResponse: (statusCode, headers) => ({
    requestId: headers['x-id'] as string | undefined,
    confirmsNotRun: headers['x-not-run'] !== undefined,
    faultyTargetId: headers['x-faulty'] as string | undefined,
    namedLimit:
      headers['x-limit'] === undefined
        ? { kind: 'none' }
        : { kind: 'limit', perSecond: Number(headers['x-limit']) },
    isLeaving: headers['x-leaving'] !== undefined,
    retryAfterMs:
      statusCode === 503 && headers['x-wait-ms'] !== undefined
        ? Number(headers['x-wait-ms'])
        : undefined,
  }),
};

const listen = async (listener: http.RequestListener) => {
  const server = http.createServer(listener);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, port: (server.address() as AddressInfo).port };
};

const findFreePort = async () => {
  const { server, port } = await listen(() => {});
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  return port;
};

/** Starts a relay in front of the targets of a test. */
export const createTestRelay = async (options: TestRelayOptions): Promise<TestRelay> => {
  let plan = createPlan(options);
  let announcedRevision = plan.revision;
  const isStream = plan.routes[0]!.kind === 'stream';
  const servers = new Map<string, http.Server>();
  const targets = new Map<string, fleet.Target>();
  for (const [index, { id, listener }] of options.targets.entries()) {
    const { server, port } = await listen((request, response) => {
      if (request.url === probePath) response.end();
      else listener(request, response);
    });
    servers.set(id, server);
    targets.set(id, {
      id,
      startedAtMs: 1,
      serviceName: 'service',
      address: `127.0.0.1:${port}`,
      failureDomain: index === 0 ? 'a' : 'b',
      state: 'live',
      slots: options.slots ?? engine.slotsPerGroup,
      fabricDomain: 'f',
      stagedModels: [],
      loadedModels: [],
      membership: isStream
        ? { groupName: `${testModel}.${index}`, epoch: index, rank: 0, state: 'open' }
        : undefined,
    });
  }
  const ageMs = options.planAgeMs ?? (() => 0);
  const suspected: string[] = [];
  const port = await findFreePort();
  const { network = testing.createFakeNetwork(), name = 'test' } = options;
  const calls = network.join(name);
  const created = relay.createRelay({
    host: '127.0.0.1',
    port,
    failureDomain: 'a',
    localAddress: undefined,
    noticeMs: 20,
    drainTimeoutMs: 1_000,
    gate: { maxRequestsPerConnection: 6, maxRequests: 2_000, maxHeaderFields: 64_000 },
    maxConnections: 1_000,
    clock: options.clock ?? clocks.createSystemClock(),
    log: telemetry.createLog({ level: 'silent', instanceId: 'test' }),
    metrics: telemetry.createMetrics(),
    plan: {
      current: () => plan,
      ageMs,
      confirmedBy: () => 'read',
      share: () => undefined,
      applyShared: () => {},
      announce: (revision) => {
        announcedRevision = revision;
      },
      confirmPlan: async (maxAgeMs) => {
        await options.planRead;
        if (announcedRevision > plan.revision && options.storedPlan !== undefined) {
          plan = createPlan({ ...options, ...options.storedPlan });
        }
        return ageMs() <= maxAgeMs ? plan : undefined;
      },
      component: { name: 'plan' },
    },
    targets: {
      all: () => targets,
      groups: () => fleet.groupsOf(targets.values()),
      version: () => 1,
      ageMs: () => 0,
      isLoaded: () => true,
      isSettled: () => true,
      onChange: () => {},
      share: () => undefined,
      summary: () => undefined,
      cursor: () => undefined,
      applyShared: () => {},
      component: { name: 'targets' },
    },
    evacuations: options.evacuations ?? fleet.noEvacuations,
    callerWire,
    targetWire,
    random: () => 0.5,
    daemonCount: () => 1,
    otherLoads: options.otherLoads ?? (() => ({})),
    otherLoadsAgeMs: () => 0,
    keyValidityMs: 4_000,
    denialValidityMs: 1_900,
    retryFraction: 0.2,
    fleetRetryReserve: options.fleetRetryReserve ?? 100,
    hasher: await routing.createPrefixHasher(),
    failureReporter: {
      suspect: (targetId) => suspected.push(targetId),
      confirmLoss: async () => ({ isLost: options.confirmLoss?.() ?? false, endedMembers: [] }),
    },
    crashes: {
      calls,
      runId: 'test',
      peerAddresses: () => [],
      checkInSoon: () => {},
      storeClient: testing.createFakeStore().clientOf('test'),
      storeKey: { kind: 'quarantines', name: 'requests' },
      isHolder: () => false,
    },
    limits: {
      calls,
      runId: 'test',
      scheduler: () => ({ kind: 'self' }),
      checkInSoon: () => {},
    },
    memory: options.memory ?? { answerBytes: 100_000_000, bodyBytes: 100_000_000 },
    reach: { calls, peerAddresses: options.peerAddresses ?? (() => []) },
    signals: { runId: name, heedsLeaving: options.heedsLeaving ?? true },
  });
  await created.component.start?.();
  return {
    url: `http://127.0.0.1:${port}`,
    relay: created,
    suspected,
    endTarget: (id) => {
      servers.get(id)?.close();
      servers.get(id)?.closeAllConnections();
    },
    leave: (id) => {
      targets.set(id, { ...targets.get(id)!, state: 'leaving' });
      servers.get(id)?.close();
    },
    listNextRun: (id) => {
      const target = targets.get(id)!;
      targets.set(id, { ...target, startedAtMs: target.startedAtMs + 1 });
    },
    stop: async () => {
      await created.component.stop?.();
      servers.forEach((server) => {
        server.close();
        server.closeAllConnections();
      });
    },
  };
};
