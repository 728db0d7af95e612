// Starts the daemons of the deploy file on loopback addresses, and calls them as consumers do.
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = resolve(dirname(fileURLToPath(import.meta.url)), '../..');

export const sleep = (ms) =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

/** The third byte of the loopback addresses; runs with different ones don't take each other's ports. */
const subnet = process.env.SUBNET ?? '0';

export const hostAt = (last) => `127.0.${subnet}.${last}`;

const freePort = async (host) => {
  const server = net.createServer();
  await new Promise((done) => {
    server.listen(0, host, done);
  });
  const { port } = server.address();
  await new Promise((done) => {
    server.close(done);
  });
  return port;
};

/** The program and the arguments that the deploy file names. */
const deployCommand = () => {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"/m.exec(text)[1].split(' ');
};

export const bounds = {
  drain_ms: 2_000,
  revoke_ms: 5_000,
  config_deadline_ms: 2_000,
  grace_s: 8,
  retry_budget_ratio: 0.2,
  retry_budget_slack: 130,
  stable_ms: 3_000,
};

/** Settings as the template of the deploy file renders them. */
const settingsOf = (name, zone, ip, ports, storeAddress, isFenced) => ({
  instanceId: name,
  region: 'navarra-norte',
  failureDomain: zone,
  ip,
  callers: { listen: `${ip}:${ports[0]}` },
  readiness: { listen: `${ip}:${ports[1]}` },
  peers: { listen: `${ip}:${ports[2]}` },
  metrics: { listen: `${ip}:${ports[3]}` },
  store: { address: storeAddress, readsPerSecond: 2_000, writesPerSecond: 400 },
  targets: { drainMs: bounds.drain_ms, checkFencing: isFenced },
  plan: { inForceMs: bounds.config_deadline_ms },
  keys: { revocationMs: bounds.revoke_ms },
  retries: { fraction: bounds.retry_budget_ratio, reserve: bounds.retry_budget_slack },
  shutdown: { graceSeconds: bounds.grace_s },
  log: { level: 'info' },
});

export const createRecorder = (folder) => {
  const file = join(folder, 'record.txt');
  const startedAtMs = performance.now();
  writeFileSync(file, '');
  const record = (text) => {
    const line = `${((performance.now() - startedAtMs) / 1_000).toFixed(3)} ${text}\n`;
    appendFileSync(file, line);
  };
  return record;
};

/** Starts one daemon process; `storeAddress` may be that of a proxy. */
export const createDaemon = async ({
  name,
  zone = 'a',
  ip,
  storeAddress,
  record,
  isFenced = true,
  logFile,
}) => {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const file = join(folder, 'settings.json');
  const ports = [];
  for (let index = 0; index < 4; index += 1) ports.push(await freePort(ip));
  writeFileSync(file, JSON.stringify(settingsOf(name, zone, ip, ports, storeAddress, isFenced)));
  let child;
  let exit;
  const start = () => {
    const [program, ...words] = deployCommand();
    exit = undefined;
    child = spawn(program, words, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, COMFREYDRUM_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const started = child;
    const save = (chunk) => {
      if (logFile !== undefined) appendFileSync(logFile, chunk);
    };
    child.stdout.on('data', save);
    child.stderr.on('data', save);
    child.on('exit', (code, signal) => {
      if (child === started) exit = { code, signal };
      record(`${name} exited: code ${code}, signal ${signal}`);
    });
  };
  start();
  const isReady = () =>
    new Promise((done) => {
      http
        .get({ host: ip, port: ports[1], path: '/ready', agent: false }, (response) => {
          response.resume();
          done(response.statusCode === 200);
        })
        .on('error', () => done(false));
    });
  return {
    name,
    ip,
    port: ports[0],
    controlPort: ports[2],
    isReady,
    exit: () => exit,
    pid: () => child.pid,
    signal: (signal) => child.kill(signal),
    start,
    stop: async () => {
      if (exit === undefined) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        while (exit === undefined) await sleep(10);
      }
      rmSync(folder, { recursive: true, force: true });
    },
  };
};

export const waitFor = async (condition, limitMs, what) => {
  const endAtMs = performance.now() + limitMs;
  while (!(await condition())) {
    if (performance.now() > endAtMs) throw new Error(`no ${what} within ${limitMs} ms`);
    await sleep(50);
  }
};

let requestCount = 0;

/** Sends one request on a channel of its own, as a consumer does; never rejects. */
export const call = ({
  daemon,
  path,
  method = 'POST',
  body = '{}',
  key = 'key-1',
  limitMs = 4_000,
  headers = {},
  requestId: givenId,
  agent = false,
}) => {
  requestCount += 1;
  const requestId = givenId ?? `r${requestCount}`;
  const sentAtMs = performance.now();
  return new Promise((done) => {
    let status = 0;
    let text = '';
    let answerHeaders = {};
    let isDone = false;
    const finish = (isComplete) => {
      if (isDone) return;
      isDone = true;
      const endedAtMs = performance.now();
      done({
        requestId,
        status,
        text,
        headers: answerHeaders,
        isComplete,
        sentAtMs,
        endedAtMs,
        daemon: daemon.name,
      });
    };
    const request = http.request({
      host: daemon.ip,
      port: daemon.port,
      path,
      method,
      agent,
      headers: {
        host: 'desk.example',
        authorization: `Bearer ${key}`,
        'x-comfreydrum-request-id': requestId,
        'x-comfreydrum-deadline-ms': String(limitMs),
        ...headers,
        ...(method === 'GET' ? {} : { 'content-length': Buffer.byteLength(body) }),
      },
    });
    const timer = setTimeout(() => {
      request.destroy();
      finish(false);
    }, limitMs + 500);
    request.on('response', (response) => {
      status = response.statusCode;
      answerHeaders = response.headers;
      response.on('data', (chunk) => {
        text += chunk;
      });
      response.on('end', () => {
        clearTimeout(timer);
        finish(response.complete);
      });
      response.on('close', () => finish(response.complete));
      response.on('error', () => finish(false));
    });
    request.on('error', () => {
      clearTimeout(timer);
      finish(false);
    });
    request.end(method === 'GET' ? undefined : body);
  });
};

/** A manifest with a model service and a plain service. */
export const manifestOf = ({
  version = 7,
  keys = ['key-1', 'key-2'],
  size = 3,
  resumable = true,
  deskTimeoutMs = 4_000,
} = {}) => ({
  version,
  routes: [
    {
      name: 'drafts',
      hostname: 'desk.example',
      path_prefix: '/drafts/',
      kind: 'streaming',
      timeout_ms: 4_000,
      target_latency_ms: 300,
      target_gap_ms: 300,
      priority: 1,
      service: 'models',
      max_attempts: 2,
      public: false,
      sticky: true,
      resumable,
    },
    {
      name: 'filings',
      hostname: 'desk.example',
      path_prefix: '/filings/',
      kind: 'unsafe',
      timeout_ms: deskTimeoutMs,
      target_latency_ms: 386,
      priority: 2,
      service: 'desk',
      max_attempts: 1,
      public: false,
      sticky: false,
      resumable: false,
    },
    {
      name: 'lookups',
      hostname: 'desk.example',
      path_prefix: '/lookups/',
      kind: 'safe',
      timeout_ms: deskTimeoutMs,
      target_latency_ms: 386,
      priority: 2,
      service: 'desk',
      max_attempts: 2,
      public: false,
      sticky: false,
      resumable: false,
    },
  ],
  services: [
    {
      name: 'models',
      health_check: '/healthz',
      max_connections: 400,
      protocol: 'h1',
      tls: false,
      engine: {
        slots: 18,
        kv_capacity_tokens: 1_100_769,
        stride: 7,
        models: [{ name: 'draft', size, share: 1, pace: 1, load_s: 12, warm_s: 1.1 }],
        step_ms: 5.95,
        per_seq_ms: 0.05,
        read_per_s: 50_700,
        loads_per_s: 4.5,
        loads_at_once: 6,
        usual: { prompt: 1_460, answer: 175 },
      },
    },
    { name: 'desk', health_check: '/healthz', max_connections: 100, protocol: 'h1', tls: false },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 65_536,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'court', api_keys: keys, priority: 1 }],
});

export const draftHeaders = {
  'x-comfreydrum-model': 'draft',
  'x-comfreydrum-token-count': '1460,80',
  'x-comfreydrum-prompt-prefix': '5c1e07a2:40,91bd3f06:1420',
};
