import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import * as testing from '@comfreydrum/testing';
import * as undici from 'undici';
import { mapConcurrently } from '../../scripts/mapConcurrently';

/** A daemon of the measured fleet. */
export interface ControlDaemon {
  readonly pid: number;
  readonly adminUrl: string;
  /** Calls a JSON-RPC method on the daemon's peer address, as other daemons do. */
  readonly call: (method: string, params?: unknown) => Promise<unknown>;
}

/** Daemons and their platform, connected directly without a fault-injecting proxy. */
export interface ControlFleet {
  readonly daemons: readonly ControlDaemon[];
  readonly platformCounts: () => Promise<testing.PlatformCounts>;
  readonly stop: () => Promise<void>;
}

const startConcurrency = 3;
const startTimeoutMs = 60_000;
const regionCount = 7;
const failureDomainCount = 15;
const seedCount = 3;
const ports = { peers: 8_082, admin: 8_081, gateway: 8_080, platform: 9_000 };

const hostOf = (index: number) =>
  `127.${200 + (process.pid % 50)}.${Math.floor(index / 200)}.${(index % 200) + 1}`;

const regionOf = (index: number) => `region-${index % regionCount}`;

const createSettings = (index: number, platformUrl: string) => ({
  instanceId: `entry-${index}`,
  region: regionOf(index),
  failureDomain: `domain-${index % failureDomainCount}`,
  gateway: { listen: `${hostOf(index)}:${ports.gateway}` },
  admin: {
    listen: `${hostOf(index)}:${ports.admin}`,
    tokens: [{ team: '*', tokenSha256: testing.sha256Hex(testing.operatorToken) }],
  },
  peers: {
    listen: `${hostOf(index)}:${ports.peers}`,
    seeds: Array.from({ length: seedCount }, (_, seed) => `${hostOf(seed + 1)}:${ports.peers}`),
  },
  platform: { url: platformUrl },
  outbound: { localAddress: hostOf(index) },
  log: { level: 'warn' },
  randomSeed: index,
});

const callDaemon = async (index: number, method: string, params: unknown) => {
  const response = await undici.request(`http://${hostOf(index)}:${ports.peers}/rpc`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-comfreydrum-fleet': 'default',
      'x-comfreydrum-caller': 'benchmark',
    },
    body: JSON.stringify({ jsonrpc: '2.0', id: 1, method, params }),
  });
  const reply = (await response.body.json()) as { readonly result: unknown };
  return reply.result;
};

/** Starts a platform and `daemonCount` daemons, at most three daemons at a time. */
export const startControlFleet = async (daemonCount: number): Promise<ControlFleet> => {
  const folder = await mkdtemp(join(tmpdir(), 'control-'));
  const platformUrl = `http://${hostOf(0)}:${ports.platform}`;
  const platform = testing.startProcess({
    name: 'platform',
    command: [
      ...['apps/standins/dist/main.js', 'platform'],
      ...['--listen', `${hostOf(0)}:${ports.platform}`],
    ],
  });
  const started: testing.TestProcess[] = [platform];
  await platform.waitForLine(
    ({ fields }) => fields.event === 'listening',
    startTimeoutMs,
    'the address of the platform',
  );

  const startDaemon = async (index: number): Promise<ControlDaemon> => {
    const file = join(folder, `${index}.json`);
    await writeFile(file, JSON.stringify(createSettings(index, platformUrl)));
    const daemon = testing.startProcess({
      name: `entry-${index}`,
      command: ['apps/comfreydrumd/dist/main.js', '--settings', file],
    });
    started.push(daemon);
    const adminUrl = `http://${hostOf(index)}:${ports.admin}`;
    const isUp = async () => {
      const { statusCode, body } = await undici.request(`${adminUrl}/livez`);
      await body.dump();
      return statusCode === 200;
    };
    await testing.waitUntil(isUp, startTimeoutMs, `entry-${index} to be alive`, 100);
    return {
      pid: daemon.pid,
      adminUrl,
      call: (method, params = null) => callDaemon(index, method, params),
    };
  };

  const stop = async () => {
    await Promise.all(started.map((running) => running.kill()));
    await rm(folder, { recursive: true });
  };

  try {
    const indexes = Array.from({ length: daemonCount }, (_, index) => index + 1);
    const daemons = await mapConcurrently(indexes, startConcurrency, startDaemon);
    return {
      daemons,
      platformCounts: async () => {
        const { body } = await undici.request(`${platformUrl}/control/counts`);
        return (await body.json()) as testing.PlatformCounts;
      },
      stop,
    };
  } catch (cause) {
    await stop();
    throw cause;
  }
};
