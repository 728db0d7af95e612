import { createHash } from 'node:crypto';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import process from 'node:process';
import * as clock from '@comfreydrum/clock';
import * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';
import type * as groups from '@comfreydrum/groups';
import type * as ledger from '@comfreydrum/ledger';
import * as routing from '@comfreydrum/routing';
import * as telemetry from '@comfreydrum/telemetry';
import type { FleetLink } from '../FleetLink';
import { createStandaloneLink } from './createStandaloneLink';
import { createGateway, type Gateway } from '../createGateway';

/** The tokens of the customers of the test configuration. */
export const testTokens = {
  court: 'token-of-court',
  office: 'token-of-office',
  limited: 'token-of-limited',
} as const;

const digest = (text: string) => createHash('sha256').update(text).digest('hex');

const document = {
  team: 'mediation',
  failureDomains: [{ name: 'pamplona-a', region: 'navarra' }],
  targetKinds: [
    { name: 'engine', protocol: 'engine' },
    { name: 'desk', protocol: 'service' },
  ],
  models: [
    {
      name: 'drafting',
      version: 'v1',
      adapters: ['rotations'],
      targetKind: 'engine',
      groups: 1,
      instancesPerGroup: 1,
    },
  ],
  services: [{ name: 'desk', targetKind: 'desk' }],
  customers: [
    { name: 'court', tokensSha256: [digest(testTokens.court)] },
    { name: 'office', tokensSha256: [digest(testTokens.office)] },
    { name: 'limited', tokensSha256: [digest(testTokens.limited)], maxConcurrent: 1 },
  ],
  routes: [
    { kind: 'model', name: 'chat', path: '/v1/chat/completions', deadlineMs: 2_000 },
    {
      kind: 'service',
      name: 'file',
      path: '/filings',
      service: 'desk',
      idempotent: false,
      idempotency: { key: 'header' },
    },
    {
      kind: 'service',
      name: 'lookup',
      method: 'GET',
      path: '/cases/*',
      service: 'desk',
      idempotent: true,
    },
    {
      kind: 'service',
      name: 'kept',
      method: 'GET',
      path: '/kept/*',
      service: 'desk',
      idempotent: true,
      cacheMs: 60_000,
    },
  ],
};

/** Replacements for the rest of the daemon, and settings of the test. */
export interface TestGatewayOptions {
  /** Handles the requests to the leaders of the groups and to the targets of the service. */
  readonly target: http.RequestListener;
  /** The version and adapters of each group; one group of version `v1` when omitted. */
  readonly loaded?: readonly Partial<Pick<groups.ServingGroup, 'modelVersion' | 'adapters'>>[];
  readonly claim?: ledger.Ledger['claim'];
  readonly maxBodyBytes?: number;
  /** The targets of the service; by default they are at the address of `target`. */
  readonly serviceTargets?: readonly groups.ServiceTarget[];
  /** The number of service targets at the address of `target`; 1 when omitted. */
  readonly serviceTargetCount?: number;
  readonly link?: FleetLink;
  readonly retryBudgetFraction?: number;
  readonly drainTimeoutMs?: number;
  readonly readiness?: Gateway['readiness'];
}

/** A listening gateway whose targets the test implements. */
export interface TestGateway extends Pick<Gateway, 'drain' | 'readiness'> {
  readonly url: string;
  readonly outcomes: readonly ledger.RunOutcome[];
  /** Reports the group as broken, as happens when the evidence of its members is lost. */
  readonly breakGroup: () => void;
  /** Advances the daemon's monotonic clock. */
  readonly advanceClock: (durationMs: number) => void;
  readonly stop: () => Promise<void>;
}

const listen = async (server: http.Server): Promise<string> => {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const firstPort = 20_000;
let gatewayCount = 0;

/** Returns an address that no other test process uses: its IP is derived from the process id. */
const nextAddress = () => {
  gatewayCount += 1;
  const host = `127.92.${Math.floor(process.pid / 256) % 256}.${process.pid % 256}`;
  return { host, port: firstPort + gatewayCount };
};

const createStore = (retryBudgetFraction = 0.1): configuration.ConfigurationStore => {
  const team = errors.unwrap(
    configuration.checkConfiguration({ ...document, retryBudgetFraction }, 'test'),
  );
  return {
    current: () => [team],
    revisions: () => ({ mediation: 1 }),
    onChange: () => () => {},
  };
};

/** Starts a gateway for one test. */
export const createTestGateway = async (options: TestGatewayOptions): Promise<TestGateway> => {
  const target = http.createServer(options.target);
  const targetUrl = await listen(target);
  const realClock = clock.createSystemClock();
  let clockOffsetMs = 0;
  const systemClock: clock.Clock = {
    ...realClock,
    monotonicMs: () => realClock.monotonicMs() + clockOffsetMs,
  };
  const outcomes: ledger.RunOutcome[] = [];
  let isServing = true;
  let onBroken: Parameters<groups.GroupDirectory['onBroken']>[0] = () => {};
  const createGroup = (
    loaded: Partial<groups.ServingGroup>,
    index: number,
  ): groups.ServingGroup => ({
    groupId: `group-${index + 1}`,
    team: 'mediation',
    modelName: 'drafting',
    modelVersion: 'v1',
    adapters: [],
    ...loaded,
    generation: 1,
    maxConcurrent: 4,
    members: [
      {
        instanceId: 'engine-1',
        url: targetUrl,
        failureDomain: 'pamplona-a',
        fabricDomain: 'fabric-1',
        rank: 0,
      },
    ],
  });
  const servingGroups = (options.loaded ?? [{}]).map(createGroup);
  const { serviceTargetCount = 1 } = options;
  const serviceTargets =
    options.serviceTargets ??
    Array.from({ length: serviceTargetCount }, (_, index) => ({
      instanceId: `desk-${index + 1}`,
      url: targetUrl,
      failureDomain: 'pamplona-a',
    }));
  const address = nextAddress();
  const gateway = createGateway({
    instanceId: 'entry-1',
    failureDomain: 'pamplona-a',
    listen: address,
    limits: {
      maxBodyBytes: options.maxBodyBytes ?? 10_000,
      maxHeaderBytes: 4_096,
      maxConnections: 100,
      maxRequestsPerConnection: 6,
      headerTimeoutMs: 1_000,
      bodyTimeoutMs: 300,
    },
    noticeMs: 0,
    drainTimeoutMs: options.drainTimeoutMs ?? 5_000,
    clock: systemClock,
    log: telemetry.createLog({ level: 'silent', instanceId: 'entry-1' }),
    metrics: telemetry.createMetrics(),
    timeline: telemetry.createTimeline('entry-1', clock.createHybridClock(systemClock)),
    configuration: createStore(options.retryBudgetFraction),
    groups: {
      serving: () => (isServing ? servingGroups : []),
      maySend: () => isServing,
      reportLoss: () => {},
      onBroken: (listener) => {
        onBroken = listener;
        return () => {};
      },
    },
    services: {
      targets: () => serviceTargets,
    },
    link: options.link ?? createStandaloneLink('entry-1'),
    ledger: {
      claim:
        options.claim ??
        ((request) =>
          Promise.resolve({
            kind: 'granted',
            grant: { claimId: request.requestId, request, tryDispatch: () => true },
          })),
      finish: (_grant, outcome) => {
        outcomes.push(outcome);
        return Promise.resolve();
      },
    },
    hasher: await routing.createPrefixHasher(),
    randomSeed: 1,
    readiness: options.readiness ?? (() => ({ ready: true, reason: 'ready' })),
  });
  await gateway.component.start?.();

  return {
    url: `http://${address.host}:${address.port}`,
    outcomes,
    drain: gateway.drain,
    readiness: gateway.readiness,
    breakGroup: () => {
      isServing = false;
      onBroken('group-1', 1, 'a member is gone');
    },
    advanceClock: (durationMs) => {
      clockOffsetMs += durationMs;
    },
    stop: async () => {
      await gateway.component.stop?.();
      target.closeAllConnections();
      target.close();
    },
  };
};
