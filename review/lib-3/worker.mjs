// A stand-in for a worker of a plain service, which registers itself in the store's stand-in.
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

export const startWorker = async ({
  id,
  ip,
  zone,
  service,
  store,
  slots = 6,
  coldMs = 0,
  workMs = 15,
  isUnframed = false,
}) => {
  const born = Date.now();
  const arrivals = [];
  let isListed = true;
  let sequence = 0;
  let isLeaving = false;
  let silentUntilMs = 0;
  /** Addresses of daemons that are partitioned from this worker. */
  const cutOff = new Set();
  const sockets = new Set();

  const coldRemainingMs = () => Math.max(0, born + coldMs - Date.now());

  const serve = (request, response) => {
    const expected = request.headers['x-comfreydrum-expect-instance'];
    const requestId = String(request.headers['x-comfreydrum-request-id']);
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', async () => {
      while (Date.now() < silentUntilMs) await sleep(silentUntilMs - Date.now());
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'at-server': id, 'x-comfreydrum-request-id': requestId }).end();
        return;
      }
      if (request.url === '/report') {
        response.writeHead(200, { 'content-type': 'application/json' });
        response.end(JSON.stringify({ born, busy: false, sequence, queued: 0, active: 0 }));
        return;
      }
      arrivals.push({ requestId, sender: request.socket.remoteAddress, atMs: Date.now() });
      setTimeout(() => {
        // Neither a length nor chunks: the answer ends with its channel.
        if (isUnframed) {
          Object.assign(response, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
        }
        response.writeHead(200, {
          'x-comfreydrum-request-id': requestId,
          'x-comfreydrum-server-stamp': `stamp.${id}.${requestId}`,
          // A worker that leaves says so in all its answers.
          ...(isLeaving ? { 'server-leaving': '1', connection: 'close' } : {}),
        });
        response.write(`${id} ${requestId} ${Buffer.concat(chunks).toString()}`);
        response.end();
      }, workMs);
    });
  };

  const server = http.createServer({ keepAliveTimeout: 10_000 }, serve);
  server.on('connection', (socket) => {
    if (cutOff.has(socket.remoteAddress)) {
      socket.resetAndDestroy();
      return;
    }
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(0, ip, resolve);
  });
  const address = `${ip}:${server.address().port}`;

  /** Writes the entry, as a status report does. */
  const report = () => {
    if (!isListed) return;
    sequence += 1;
    store.write('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: coldRemainingMs(),
      born,
    });
  };
  report();

  return {
    id,
    address,
    arrivals,
    report,
    /** Takes the entry away without having reported `draining`; goes on serving. */
    leaveUnannounced: () => {
      isListed = false;
      isLeaving = true;
      store.remove('servers', id);
    },
    /** Answers nothing for a while, and then goes on. */
    fallSilent: (durationMs) => {
      silentUntilMs = Date.now() + durationMs;
    },
    /** Resets the channels of a daemon, and each new one, until the cut ends. */
    cutOff: (daemonIp) => {
      cutOff.add(daemonIp);
      sockets.forEach((socket) => {
        if (socket.remoteAddress === daemonIp) socket.resetAndDestroy();
      });
    },
    endCut: (daemonIp) => cutOff.delete(daemonIp),
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
