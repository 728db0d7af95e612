// Starts daemons with the command of the deploy file, from settings as its template makes them.
import process from 'node:process';
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import * as http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));
const command = [
  '--max-old-space-size=160',
  '--max-semi-space-size=4',
  'target/comfreydrumd.mjs',
  'relay',
];

/** Below the ports that the system gives to outgoing connections. */
const firstPort = 18_000;
const portCount = 12_000;

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = http.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

/** Returns a port that is free on an address, and that was not returned before. */
const createPortFinder = () => {
  let next = Math.floor(Math.random() * portCount);
  return async (host) => {
    for (;;) {
      next = (next + 1) % portCount;
      if (await isFree(host, firstPort + next)) return firstPort + next;
    }
  };
};

export const getStatus = (url) =>
  new Promise((resolve) => {
    http
      .get(url, { agent: false, timeout: 1_000 }, (response) => {
        response.resume();
        resolve(response.statusCode);
      })
      .on('timeout', () => resolve(0))
      .on('error', () => resolve(0));
  });

export const startDaemons = async ({
  count,
  storeAddress,
  zones = ['a', 'b', 'c'],
  settings = {},
  logFolder,
}) => {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const daemons = [];
  const findFreePort = createPortFinder();
  for (let index = 0; index < count; index += 1) {
    const ip = `127.0.0.${21 + index}`;
    const name = `edge-${index + 1}`;
    const ports = {};
    for (const key of ['callers', 'ready', 'peers', 'metrics']) ports[key] = await findFreePort(ip);
    const file = join(folder, `${name}.json`);
    const content = (isFirstStart) => ({
      instanceId: name,
      region: 'r',
      failureDomain: zones[index % zones.length],
      ip,
      callers: { listen: `${ip}:${ports.callers}` },
      readiness: { listen: `${ip}:${ports.ready}` },
      peers: { listen: `${ip}:${ports.peers}` },
      metrics: { listen: `${ip}:${ports.metrics}` },
      store: { address: storeAddress, readsPerSecond: 2_000, writesPerSecond: 400, isFirstStart },
      targets: { drainMs: 2_000, checkFencing: true },
      plan: { inForceMs: 2_000 },
      keys: { revocationMs: 5_000 },
      retries: { fraction: 0.2, reserve: 130 },
      memory: { processMb: 350 },
      processor: { cores: 1, share: 0.675 },
      descriptors: { processMax: 4_200 },
      shutdown: { graceSeconds: 8 },
      log: { level: 'info' },
      ...settings,
    });
    const daemon = { name, ip, ...ports, exits: [] };
    daemon.start = (isFirstStart) => {
      writeFileSync(file, JSON.stringify(content(isFirstStart)));
      const child = spawn(process.execPath, command, {
        cwd: root,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, COMFREYDRUM_CONFIG: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      daemon.child = child;
      if (logFolder) {
        const log = createWriteStream(join(logFolder, `${name}.log`), { flags: 'a' });
        child.stdout.pipe(log);
        child.stderr.pipe(log);
      } else {
        child.stdout.resume();
        child.stderr.on('data', (bytes) => {
          daemon.errors = `${daemon.errors ?? ''}${bytes}`.slice(-400);
        });
      }
      child.once('exit', (code, signal) => {
        daemon.exits.push({ code, signal, isExpected: daemon.isStopping === true });
      });
    };
    daemon.start(true);
    daemons.push(daemon);
  }
  // Also after an error of the case itself.
  process.once('exit', () => daemons.forEach(({ child }) => child.kill('SIGKILL')));
  return {
    daemons,
    waitUntilReady: async (timeoutMs = 20_000) => {
      const endMs = Date.now() + timeoutMs;
      for (const daemon of daemons) {
        const { ip, ready } = daemon;
        while ((await getStatus(`http://${ip}:${ready}/ready`)) !== 200) {
          if (Date.now() > endMs) throw new Error(`${ip} did not become ready: ${daemon.errors}`);
          await delay(50);
        }
      }
    },
    stop: async () => {
      for (const daemon of daemons) {
        daemon.isStopping = true;
        if (daemon.child.exitCode === null && daemon.child.signalCode === null) {
          const exited = new Promise((resolve) => {
            daemon.child.once('exit', resolve);
          });
          daemon.child.kill('SIGKILL');
          await exited;
        }
      }
      rmSync(folder, { recursive: true, force: true });
    },
  };
};
