// Starts daemons with the command of the deploy file, and keeps the record of a case.
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, ms));
  });

const freePort = async (ip) => {
  const server = net.createServer();
  await new Promise((resolve) => {
    server.listen(0, ip, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
};

/** The command of the deploy file; its words are split at spaces. */
const deployCommand = () => {
  const run = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))[1];
  return run.split(' ');
};

/** A record of what was sent, answered and run, with the time since the start of the case in milliseconds. */
export const openRecord = (folder) => {
  const file = join(folder, 'record.txt');
  const startedAtMs = Date.now();
  writeFileSync(file, '');
  return (text) =>
    appendFileSync(file, `${String(Date.now() - startedAtMs).padStart(6)} ${text}\n`);
};

const bounds = {
  drainMs: 2_000,
  configMs: 2_000,
  revokeMs: 5_000,
  graceS: 8,
};

export const startDaemon = async ({ name, ip, zone, storeAddress, folder, memoryMb = 350 }) => {
  const [front, ready, control, metrics] = [
    await freePort(ip),
    await freePort(ip),
    await freePort(ip),
    await freePort(ip),
  ];
  const settings = {
    instanceId: name,
    region: 'r',
    failureDomain: zone,
    ip,
    callers: { listen: `${ip}:${front}` },
    readiness: { listen: `${ip}:${ready}` },
    peers: { listen: `${ip}:${control}` },
    metrics: { listen: `${ip}:${metrics}` },
    store: {
      address: storeAddress,
      readsPerSecond: 2_000,
      writesPerSecond: 400,
      isFirstStart: true,
    },
    targets: { drainMs: bounds.drainMs, checkFencing: true },
    plan: { inForceMs: bounds.configMs },
    keys: { revocationMs: bounds.revokeMs },
    retries: { fraction: 0.2, reserve: 130 },
    memory: { processMb: memoryMb },
    processor: { cores: 1, share: 0.675 },
    descriptors: { processMax: 4_200 },
    shutdown: { graceSeconds: bounds.graceS },
    log: { level: 'info' },
  };
  const settingsFile = join(folder, `${name}.json`);
  const daemon = { name, ip, zone, front, ready, control, pid: undefined, exit: undefined };
  let startCount = 0;
  daemon.start = () => {
    startCount += 1;
    // `bootstrap` is true only when the whole system starts for the first time.
    const store = { ...settings.store, isFirstStart: startCount === 1 };
    writeFileSync(settingsFile, JSON.stringify({ ...settings, store }));
    const [program, ...args] = deployCommand();
    const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
    const child = spawn(program, args, {
      env: { PATH: process.env.PATH, HOME: process.env.HOME, COMFREYDRUM_CONFIG: settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    daemon.pid = child.pid;
    daemon.exit = undefined;
    daemon.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        daemon.exit = { code, signal };
        resolve();
      });
    });
  };
  daemon.signal = (signal) => {
    if (daemon.exit === undefined) process.kill(daemon.pid, signal);
  };
  daemon.isReady = () =>
    new Promise((resolve) => {
      http
        .get({ host: ip, port: ready, path: '/ready', agent: false }, (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        })
        .on('error', () => resolve(false));
    });
  daemon.start();
  return daemon;
};

export const waitUntil = async (condition, timeoutMs, what) => {
  const endsAtMs = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > endsAtMs) throw new Error(`timed out: ${what}`);
    await sleep(50);
  }
};

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export const runCase = async (caseFolder, play) => {
  const folder = mkdtempSync(join(tmpdir(), 'case-'));
  const daemons = [];
  const stops = [];
  const record = openRecord(caseFolder);
  let code = 2;
  try {
    const isBroken = await play({
      folder,
      record,
      addDaemon: async (options) => {
        const daemon = await startDaemon({ folder, ...options });
        daemons.push(daemon);
        return daemon;
      },
      onStop: (stop) => stops.push(stop),
    });
    code = isBroken ? 1 : 0;
  } catch (cause) {
    record(`the case could not run: ${cause.stack}`);
  }
  for (const daemon of daemons) {
    if (daemon.exit === undefined) {
      process.kill(daemon.pid, 'SIGCONT');
      process.kill(daemon.pid, 'SIGKILL');
    }
    await daemon.exited;
  }
  for (const stop of stops) await stop();
  record(`exit ${code}`);
  if (process.env.KEEP_LOGS === '1') record(`logs of the daemons: ${folder}`);
  else rmSync(folder, { recursive: true });
  process.exit(code);
};
