import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import * as undici from 'undici';
import { startProcess } from '../process/startProcess';
import type { TestProcess } from '../process/startProcess';
import { waitUntil } from '../waitUntil';
import { ports } from './createIpAllocator';
import { operatorToken, sha256Hex } from './createConfiguration';
import type { FleetDomain } from './FleetOptions';

/** A daemon of a fleet, on an entry instance of its own. */
export interface FleetDaemon {
  readonly instanceId: string;
  readonly ip: string;
  /** URL for callers, through the proxy. */
  readonly url: string;
  /** URL for callers, without the proxy. */
  readonly directUrl: string;
  readonly adminUrl: string;
  /** Returns the process that runs now, or ran last. */
  readonly process: () => TestProcess;
  /** Starts the daemon, or restarts it after it has exited, and waits until it is alive. */
  readonly start: () => Promise<void>;
  /** Reports whether the gateway accepts callers, by the endpoint that load balancers poll. */
  readonly isReady: () => Promise<boolean>;
  /** Reads a JSON document of the administration interface. */
  readonly read: (path: string) => Promise<unknown>;
}

/** Options of a daemon: its addresses, its location and what it connects to. */
export interface FleetDaemonOptions {
  readonly instanceId: string;
  readonly ip: string;
  readonly domain: FleetDomain;
  readonly folder: string;
  readonly seed: number;
  readonly platformUrl: string;
  /** The advertised addresses of the other daemons. */
  readonly seeds: readonly string[];
  readonly settings: Readonly<Record<string, unknown>>;
}

const startTimeoutMs = 15_000;

/** Returns the address at which the proxy accepts the connections of a daemon's peers. */
export const advertisedPeerAddress = (ip: string): string =>
  `${ip}:${ports.proxyOffset + ports.peers}`;

const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const mergeSections = (
  base: Readonly<Record<string, unknown>>,
  changes: Readonly<Record<string, unknown>>,
) =>
  Object.entries(changes).reduce<Readonly<Record<string, unknown>>>((merged, [name, value]) => {
    const before = merged[name];
    return {
      ...merged,
      [name]: isRecord(before) && isRecord(value) ? { ...before, ...value } : value,
    };
  }, base);

const createSettings = (options: FleetDaemonOptions) =>
  mergeSections(
    {
      instanceId: options.instanceId,
      region: options.domain.region,
      failureDomain: options.domain.name,
      gateway: { listen: `${options.ip}:${ports.gateway}` },
      admin: {
        listen: `${options.ip}:${ports.admin}`,
        tokens: [{ team: '*', tokenSha256: sha256Hex(operatorToken) }],
      },
      peers: {
        listen: `${options.ip}:${ports.peers}`,
        advertise: advertisedPeerAddress(options.ip),
        seeds: options.seeds,
      },
      platform: { url: options.platformUrl },
      outbound: { localAddress: options.ip },
      randomSeed: options.seed,
    },
    options.settings,
  );

/** Creates a daemon without starting it. */
export const createFleetDaemon = (options: FleetDaemonOptions): FleetDaemon => {
  const { instanceId, ip } = options;
  const adminUrl = `http://${ip}:${ports.admin}`;
  const directUrl = `http://${ip}:${ports.gateway}`;
  const file = join(options.folder, `${instanceId}.json`);
  let current: TestProcess | undefined;

  const respondsOk = async (url: string): Promise<boolean> => {
    const { statusCode, body } = await undici.request(url);
    await body.dump();
    return statusCode === 200;
  };

  return {
    instanceId,
    ip,
    url: `http://${ip}:${ports.proxyOffset + ports.gateway}`,
    directUrl,
    adminUrl,
    process: () => {
      if (!current) throw new Error(`daemon ${instanceId} was not started`);
      return current;
    },
    start: async () => {
      await writeFile(file, JSON.stringify(createSettings(options)));
      const started = startProcess({
        name: instanceId,
        command: ['apps/comfreydrumd/dist/main.js', '--settings', file],
      });
      current = started;
      const isAliveOrExited = async () => !started.isRunning() || respondsOk(`${adminUrl}/livez`);
      await waitUntil(isAliveOrExited, startTimeoutMs, `daemon ${instanceId} to be alive`);
      if (started.isRunning()) return;
      const tail = started.lines().map(({ text }) => text);
      throw new Error(`daemon ${instanceId} exited during startup:\n${tail.slice(-10).join('\n')}`);
    },
    isReady: () => respondsOk(`${directUrl}/readyz`).catch(() => false),
    read: async (path) => {
      const { body } = await undici.request(`${adminUrl}/${path}`, {
        headers: { authorization: `Bearer ${operatorToken}` },
      });
      return body.json();
    },
  };
};
