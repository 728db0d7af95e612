// Runs a case: writes its record and turns its result into the exit code.
import { Buffer } from 'node:buffer';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { writeFileSync } from 'node:fs';
import { fileURLToPath, URL } from 'node:url';
import * as http from 'node:http';

export const isTroubled = process.env.TROUBLE !== '0';

export const createRecord = () => {
  const startMs = Date.now();
  const lines = [];
  const add = (entry) => {
    const atMs = Date.now() - startMs;
    lines.push(JSON.stringify({ atMs, ...entry }));
    return atMs;
  };
  return { add, lines };
};

export const runCase = async (caseUrl, play) => {
  const record = createRecord();
  const cleanUps = [];
  let code = 2;
  ['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => process.exit(2)));
  process.once('uncaughtException', (cause) => {
    process.stdout.write(`could not run: ${cause.stack}\n`);
    process.exit(2);
  });
  const limit = setTimeout(() => {
    record.add({ event: 'result', result: 'could not run: over 115 s' });
    writeFileSync(fileURLToPath(new URL('record.txt', caseUrl)), `${record.lines.join('\n')}\n`);
    process.exitCode = 2;
    cleanUps
      .reverse()
      .reduce((before, each) => before.then(each), Promise.resolve())
      .finally(() => process.exit(2));
  }, 115_000);
  try {
    const { isBroken, text } = await play({
      record: record.add,
      onEnd: (cleanUp) => cleanUps.push(cleanUp),
    });
    code = isBroken ? 1 : 0;
    record.add({
      event: 'result',
      trouble: isTroubled,
      result: isBroken ? 'broken' : 'held',
      text,
    });
    process.stdout.write(`${isBroken ? 'broken' : 'held'}: ${text}\n`);
  } catch (cause) {
    record.add({ event: 'result', result: 'could not run', cause: String(cause?.stack ?? cause) });
    process.stdout.write(`could not run: ${cause}\n`);
  }
  clearTimeout(limit);
  for (const cleanUp of cleanUps.reverse()) await cleanUp();
  writeFileSync(fileURLToPath(new URL('record.txt', caseUrl)), `${record.lines.join('\n')}\n`);
  process.exit(code);
};

export const plainManifest = ({
  version = 7,
  timeoutMs = 4_000,
  attempts = 2,
  tenants,
  routes,
  services,
} = {}) => ({
  version,
  routes: routes ?? [
    {
      name: 'filings',
      hostname: 'desk.example',
      path_prefix: '/filings/',
      kind: 'unsafe',
      timeout_ms: timeoutMs,
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
      timeout_ms: timeoutMs,
      target_latency_ms: 386,
      priority: 2,
      service: 'desk',
      max_attempts: attempts,
      public: false,
      sticky: false,
      resumable: false,
    },
  ],
  services: services ?? [
    { name: 'desk', health_check: '/healthz', max_connections: 110, protocol: 'h1', tls: false },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: tenants ?? [{ name: 'court', api_keys: ['key-one', 'key-two'], priority: 1 }],
});

let nextId = 1;
export const newRequestId = () => {
  nextId += 1;
  return nextId.toString(16).padStart(16, '0');
};

/** Sends one request; resolves with what came, also when nothing complete came. */
export const send = ({
  daemon,
  path,
  method = 'POST',
  body = 'a filing',
  timeLimitMs = 4_000,
  requestId = newRequestId(),
  headers = {},
  agent = false,
  key = 'key-one',
}) =>
  new Promise((resolve) => {
    const sentAtMs = Date.now();
    const settle = (result) =>
      resolve({ requestId, sentAtMs, tookMs: Date.now() - sentAtMs, ...result });
    const request = http.request(
      {
        host: daemon.ip,
        port: daemon.callers,
        path,
        method,
        agent,
        headers: {
          host: 'desk.example',
          'x-comfreydrum-request-id': requestId,
          'x-comfreydrum-deadline-ms': String(timeLimitMs),
          authorization: `Bearer ${key}`,
          ...(method === 'GET' ? {} : { 'content-length': Buffer.byteLength(body) }),
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () =>
          settle({
            status: response.statusCode,
            isWhole: response.complete,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
          }),
        );
        response.on('error', () =>
          settle({
            status: response.statusCode,
            isWhole: false,
            body: Buffer.concat(chunks).toString(),
          }),
        );
      },
    );
    const timer = setTimeout(() => request.destroy(new Error('time limit')), timeLimitMs + 1_000);
    request.on('close', () => clearTimeout(timer));
    request.on('error', (cause) => settle({ status: 0, isWhole: false, cause: cause.message }));
    request.end(method === 'GET' ? undefined : body);
  });
