// A stand-in for a worker: registers in the store, takes orders, serves streams as the head of a group or plain requests.
import { Buffer } from 'node:buffer';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import * as http from 'node:http';

const heartbeatMs = 1_200;
const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

/**
 * `events`: called with (kind, fields) for what the worker sees. `models`: the models of the manifest, by name.
 */
export const createWorker = async ({
  id,
  host,
  store,
  service,
  zone = 'a',
  domain,
  models = {},
  onEvent = () => {},
  eventCount = 12,
  eventIntervalMs = 25,
  answerDelayMs = 10,
  isFenced = true,
  isBeforeTraffic = () => false,
  port = 0,
  firstBeatMs = heartbeatMs,
}) => {
  const born = Date.now();
  const sockets = new Set();
  let state = 'ready';
  let sequence = 0;
  let staged = [];
  let loaded = [];
  let group;
  let members = [];
  let lastModel;
  let highestToken = 0;
  let highestEpoch = 0;
  let joinTimer;
  let isEnded = false;
  let isStaging = false;
  let server;
  /** A plain request handler that replaces the usual one, for a case. */
  let override;

  const entry = () => ({
    service,
    address: `${host}:${server.address().port}`,
    zone,
    version: 'v1',
    slots: 18,
    state,
    cold_remaining_ms: 0,
    sequence,
    born,
    ...(domain === undefined
      ? {}
      : {
          domain,
          staged,
          models: loaded.map((name) => ({ name, version: 1, adapters: [] })),
          ...(group === undefined ? {} : { group }),
        }),
  });
  const report = () => {
    if (!isEnded) store.writeAsWorker(id, entry());
  };
  const setGroup = (next) => {
    group = next;
    report();
  };
  const loadMs = (name) => models[name].load_s * 1_000 * (isBeforeTraffic() ? 0.1 : 1);

  const join = ({ group: name, epoch, model, members: ids }) => {
    if (epoch < highestEpoch) return 412;
    if (group?.name === name && group.epoch === epoch && ids.join() !== members.join()) return 412;
    if (group?.name === name && group.epoch === epoch) return 200;
    highestEpoch = epoch;
    members = ids;
    sequence += 1;
    setGroup({ name, epoch, rank: ids.indexOf(id), state: 'joining' });
    const warmMs = staged.includes(model) ? models[model].warm_s * 1_000 : loadMs(model);
    clearTimeout(joinTimer);
    joinTimer = setTimeout(
      () => {
        if (!staged.includes(model)) staged = [model];
        loaded = [model];
        lastModel = model;
        setGroup({ ...group, state: 'ready' });
      },
      lastModel === model ? 200 : warmMs,
    );
    return 202;
  };

  const execute = (order) => {
    const isOwn = group?.name === order.group && group?.epoch === order.epoch;
    switch (order.operation) {
      case 'join':
        return join(order);
      case 'open':
        if (!isOwn || group.rank !== 0) return 409;
        if (group.state === 'open') return 200;
        if (group.state !== 'ready') return 409;
        sequence += 1;
        setGroup({ ...group, state: 'open' });
        return 202;
      case 'close':
        if (!isOwn) return 409;
        if (group.state !== 'open') return 200;
        sequence += 1;
        setGroup({ ...group, state: 'ready' });
        return 202;
      case 'leave':
        if (!isOwn) return 409;
        sequence += 1;
        clearTimeout(joinTimer);
        loaded = [];
        members = [];
        setGroup(undefined);
        return 200;
      case 'phase':
        if (staged.includes(order.model)) return 200;
        if (isStaging) return 409;
        isStaging = true;
        sequence += 1;
        setTimeout(() => {
          isStaging = false;
          staged = [order.model];
          report();
        }, loadMs(order.model));
        return 202;
      default:
        return 400;
    }
  };

  const handleOrder = (order, sender) => {
    const token = order.fencing_token ?? 0;
    let status = 412;
    if (!isFenced || token >= highestToken) {
      highestToken = Math.max(highestToken, token);
      const before = group && { ...group };
      status = execute(order);
      onEvent('order', { id, ...order, status, sender, before });
    } else onEvent('order', { id, ...order, status, sender, highestToken });
    return status;
  };

  const ownHeaders = (request) => ({
    'x-comfreydrum-request-id': request.headers['x-comfreydrum-request-id'] ?? '',
    'x-comfreydrum-server-stamp': `stamp-${id}`,
  });

  const serveStream = (request, response) => {
    const requestId = request.headers['x-comfreydrum-request-id'];
    let next = Number(request.headers['last-event-id'] ?? 0) + 1;
    const timer = setInterval(() => {
      if (!response.headersSent) {
        onEvent('run', { id, requestId, sender: request.socket.remoteAddress, members });
        response.writeHead(200, { ...ownHeaders(request), 'content-type': 'text/event-stream' });
      }
      response.write(`id: ${next}\ndata: ${requestId} ${next}\n\n`);
      next += 1;
      if (next <= eventCount) return;
      clearInterval(timer);
      response.end();
    }, eventIntervalMs);
    response.once('close', () => clearInterval(timer));
  };

  const serve = async (request, response) => {
    const body = await readBody(request);
    const expected = request.headers['x-comfreydrum-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'x-comfreydrum-instance-id': id }).end();
      return;
    }
    if (request.url === '/report') {
      const { sequence: _, ...rest } = entry();
      const fields = { ...rest, busy: false, sequence, queued: 0, active: 0, kv_used: 0 };
      response.end(JSON.stringify({ ...fields, kv_total: 100_000, handles: 0, pace: 1 }));
      return;
    }
    if (request.url === '/order') {
      response.writeHead(handleOrder(JSON.parse(body), request.socket.remoteAddress)).end();
      return;
    }
    if (request.url === '/healthz') {
      response.writeHead(state === 'ready' ? 200 : 503, { 'x-comfreydrum-instance-id': id }).end();
      return;
    }
    const requestId = request.headers['x-comfreydrum-request-id'];
    onEvent('arrival', { id, requestId, sender: request.socket.remoteAddress, state });
    if (domain !== undefined) {
      if (group?.rank === 0 && group.state === 'open') serveStream(request, response);
      else {
        const headers = { 'x-comfreydrum-not-run': '1', ...ownHeaders(request) };
        response.writeHead(421, headers).end();
      }
      return;
    }
    onEvent('run', { id, requestId, sender: request.socket.remoteAddress, members });
    if (override !== undefined) {
      override(request, response);
      return;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, answerDelayMs);
    });
    response.writeHead(200, ownHeaders(request)).end(`body of ${requestId}`);
  };

  server = http.createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 15_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => {});
  });
  await new Promise((resolve) => {
    server.listen(port, host, resolve);
  });
  report();
  let heartbeat;
  const beat = () => {
    report();
    heartbeat = setTimeout(beat, heartbeatMs);
  };
  heartbeat = setTimeout(beat, firstBeatMs);

  const end = () => {
    isEnded = true;
    clearTimeout(heartbeat);
    clearTimeout(joinTimer);
    server.close();
    sockets.forEach((socket) => socket.destroy());
  };

  return {
    id,
    entry,
    group: () => group,
    isOpenHead: () => group?.rank === 0 && group.state === 'open',
    setOverride: (next) => {
      override = next;
    },
    /** Reports `draining`; the caller ends the process later. */
    drain: () => {
      state = 'draining';
      report();
    },
    /** Exits: closes everything and removes its entry. */
    leave: () => {
      end();
      store.remove('servers', id);
    },
    end,
  };
};
