// A stand-in for a plain worker: it writes its entry to the store in every status report interval, runs what it
// gets after `workMs`, and records what ran when.
import { Buffer } from 'node:buffer';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import * as http from 'node:http';

const heartbeatMs = 1_200;

export const startWorker = async ({
  store,
  id,
  service,
  zone = 'a',
  host = '127.0.0.1',
  workMs = 5,
  record,
  handle,
  fields = {},
}) => {
  const runs = [];
  const born = Date.now();
  let sequence = 0;
  let state = 'ready';
  let timer;
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const requestId = request.headers['x-comfreydrum-request-id'];
      const expected = request.headers['x-comfreydrum-expect-instance'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'x-comfreydrum-instance-id': id }).end();
        return;
      }
      if (request.url === '/healthz' || request.url === '/report') {
        response.writeHead(200, {
          'x-comfreydrum-instance-id': id,
          'content-type': 'application/json',
        });
        response.end(JSON.stringify({ busy: false, sequence: 0, queued: 0, active: 0 }));
        return;
      }
      const body = Buffer.concat(chunks);
      runs.push({ requestId, atMs: Date.now() });
      record?.({ event: 'run', worker: id, requestId });
      const answer = () => {
        const text = `answer of ${id} to ${requestId}\n`;
        response.writeHead(200, {
          'x-comfreydrum-request-id': requestId,
          'x-comfreydrum-server-stamp': `stamp.${id}.${requestId}`,
          'content-type': 'text/plain',
          'content-length': Buffer.byteLength(text),
        });
        response.end(text);
      };
      if (handle) handle({ request, response, requestId, body, answer });
      else setTimeout(answer, workMs);
    });
  });
  server.keepAliveTimeout = 10_000;
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  const address = `${host}:${server.address().port}`;
  let onReport = () => {};
  const report = () => {
    sequence += 1;
    const entry = {
      service,
      address,
      zone,
      version: 'v1',
      slots: 6,
      state,
      cold_remaining_ms: 0,
      sequence,
      born,
    };
    store.put('servers', id, { ...entry, ...fields });
    onReport();
  };
  const beginReports = (delayMs) => {
    timer = setTimeout(() => {
      report();
      timer = setInterval(report, heartbeatMs);
    }, delayMs);
  };
  const endReports = () => {
    clearTimeout(timer);
    clearInterval(timer);
  };
  report();
  beginReports(Math.random() * heartbeatMs);
  return {
    id,
    address,
    runs,
    report,
    /** Ends the status reports; the worker serves on. */
    endReports,
    /** Ends them with the next one that is due, and waits for it. */
    endReportsAfterNext: () =>
      new Promise((resolve) => {
        onReport = () => {
          endReports();
          resolve();
        };
      }),
    setState: (next) => {
      state = next;
      report();
    },
    stop: () => {
      clearTimeout(timer);
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
};
