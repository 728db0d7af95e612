import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import * as undici from 'undici';
import { streamCompletion } from '../caller/streamCompletion';
import { createRandom } from '../createRandom';
import type { Random } from '../createRandom';
import { createFaultProxy } from '../proxy/createFaultProxy';
import type { FaultProxy } from '../proxy/createFaultProxy';
import { waitUntil } from '../waitUntil';
import { createIpAllocator, ports } from './createIpAllocator';
import {
  createTestConfiguration,
  customerToken,
  operatorToken,
  testNames,
} from './createConfiguration';
import { advertisedPeerAddress, createFleetDaemon } from './createFleetDaemon';
import type { FleetDaemon } from './createFleetDaemon';
import { createFleetPlatform } from './createFleetPlatform';
import type { FleetPlatform } from './createFleetPlatform';
import { createFleetTarget, toFlags } from './createFleetTarget';
import type { FleetTarget } from './createFleetTarget';
import { defaultDomains } from './FleetOptions';
import type { FleetOptions } from './FleetOptions';

/** The response of the administration interface to an applied configuration. */
export interface ApplyResponse {
  readonly statusCode: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** The processes of a complete system, with the fault proxy between all of them. */
export interface Fleet {
  readonly random: Random;
  readonly proxy: FaultProxy;
  readonly platform: FleetPlatform;
  readonly daemons: readonly FleetDaemon[];
  readonly engines: readonly FleetTarget[];
  readonly services: readonly FleetTarget[];
  /** Applies a configuration document through one daemon. */
  readonly apply: (
    document: { readonly team: string },
    expectedRevision: number | 'none',
    daemon?: FleetDaemon,
  ) => Promise<ApplyResponse>;
  /** Waits until every given daemon serves requests to the model; by default all daemons. */
  readonly waitUntilServing: (
    timeoutMs?: number,
    daemons?: readonly FleetDaemon[],
  ) => Promise<void>;
  /** Kills every process and removes the temporary folder. */
  readonly stop: () => Promise<void>;
}

const servingTimeoutMs = 20_000;
const applyTimeoutMs = 15_000;

/** Starts a fleet: the platform, targets registered with it, daemons, and a configuration. */
export const createFleet = async (options: FleetOptions): Promise<Fleet> => {
  const domains = options.domains ?? defaultDomains;
  const ipAllocator = createIpAllocator();
  const random = createRandom(options.seed);
  const proxy = createFaultProxy(options.seed);
  const folder = await mkdtemp(join(tmpdir(), 'fleet-'));
  const platform = await createFleetPlatform(ipAllocator.allocate());

  /** Forwards a port of a process through the proxy and returns the address that others use. */
  const forwardThroughProxy = (ip: string, port: number, transport: 'tcp' | 'both' = 'tcp') =>
    proxy.forward(`${ip}:${ports.proxyOffset + port}`, `${ip}:${port}`, transport);

  const platformAddress = await forwardThroughProxy(platform.ip, ports.platform);

  const registerTarget = async (
    target: FleetTarget,
    targetKind: string,
    fabricDomain: string,
    domainIndex: number,
  ) => {
    const domain = domains[domainIndex % domains.length]!;
    await platform.setInstance(target.instanceId, {
      url: `http://${await forwardThroughProxy(target.ip, ports.target)}`,
      targetKind,
      region: domain.region,
      failureDomain: domain.name,
      fabricDomain,
      acceleratorCount: 4,
      state: 'live',
    });
  };

  const engines = Array.from({ length: options.engines?.count ?? 0 }, (_, index) => {
    const ip = ipAllocator.allocate();
    const flags = toFlags({ loadMs: 100, localAddress: ip, ...options.engines?.options });
    return createFleetTarget(`engine-${index}`, ip, ['engine', ...flags]);
  });
  const services = Array.from({ length: options.services?.count ?? 0 }, (_, index) => {
    const { honourKey, latencyMs, crashOn, minLeaveMs } = options.services ?? {};
    const flags = toFlags({
      honourKey,
      latencyMs,
      crashOn,
      minLeaveMs,
      recordFile: join(folder, 'runs.jsonl'),
    });
    return createFleetTarget(`service-${index}`, ipAllocator.allocate(), ['service', ...flags]);
  });

  await Promise.all([...engines, ...services].map((target) => target.start()));
  for (const [index, engine] of engines.entries()) {
    const kind = options.engines?.targetKind ?? testNames.engineKind;
    const fabricDomain = options.engines?.fabricDomainOf?.(index) ?? 'fabric-0';
    const domainIndex = options.engines?.failureDomainIndexOf?.(index) ?? 0;
    await registerTarget(engine, kind, fabricDomain, domainIndex);
  }
  for (const [index, service] of services.entries()) {
    const kind = options.services?.targetKind ?? testNames.serviceKind;
    await registerTarget(service, kind, `service-fabric-${index}`, index);
  }

  const ips = Array.from({ length: options.daemonCount }, () => ipAllocator.allocate());
  const daemons = ips.map((ip, index) =>
    createFleetDaemon({
      instanceId: `entry-${index}`,
      ip,
      domain: domains[index % domains.length]!,
      folder,
      seed: options.seed * 1_000 + index,
      platformUrl: `http://${platformAddress}`,
      seeds: ips.filter((other) => other !== ip).map(advertisedPeerAddress),
      settings: options.daemonSettings ?? {},
    }),
  );
  await Promise.all(
    ips.flatMap((ip) => [
      forwardThroughProxy(ip, ports.peers, 'both'),
      forwardThroughProxy(ip, ports.gateway),
    ]),
  );
  await Promise.all(daemons.map((daemon) => daemon.start()));

  const apply: Fleet['apply'] = async (document, expectedRevision, daemon = daemons[0]!) => {
    const url = `${daemon.adminUrl}/v1/configurations/${document.team}`;
    const { statusCode, body } = await undici.request(url, {
      method: 'PUT',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${operatorToken}`,
        'x-expected-revision': String(expectedRevision),
      },
      body: JSON.stringify(document),
    });
    return { statusCode, body: (await body.json()) as ApplyResponse['body'] };
  };

  const isServing = async ({ directUrl }: FleetDaemon): Promise<boolean> => {
    const { end } = await streamCompletion({
      url: directUrl,
      token: customerToken(testNames.customer),
      prompt: 'ready?',
      model: testNames.model,
      maxTokens: 1,
      signal: AbortSignal.timeout(2_000),
    });
    return end === 'complete';
  };

  const stop = async () => {
    const processes = [...daemons, ...engines, ...services].map((member) => member.process());
    await Promise.all([...processes, platform.process].map((running) => running.kill()));
    await proxy.stop();
    await rm(folder, { recursive: true });
  };

  const applyInitialConfiguration = async () => {
    const document = options.configuration ?? createTestConfiguration({ domains });
    if (document === 'none') return;
    let lastResponse: ApplyResponse | undefined;
    const isApplied = async () => {
      lastResponse = await apply(document as { team: string }, 'none');
      return lastResponse.statusCode === 200;
    };
    await waitUntil(isApplied, applyTimeoutMs, 'the configuration to be applied', 100).catch(
      (cause: unknown) => {
        throw new Error(`configuration was not applied: ${JSON.stringify(lastResponse)}`, {
          cause,
        });
      },
    );
  };

  try {
    await applyInitialConfiguration();
  } catch (cause) {
    await stop();
    throw cause;
  }

  return {
    random,
    proxy,
    platform,
    daemons,
    engines,
    services,
    apply,
    waitUntilServing: async (timeoutMs = servingTimeoutMs, selectedDaemons = daemons) => {
      await Promise.all(
        selectedDaemons.map((daemon) =>
          waitUntil(() => isServing(daemon), timeoutMs, `${daemon.instanceId} to serve`, 100),
        ),
      );
    },
    stop,
  };
};
