// A stand-in for a worker of a model service: registers itself, takes orders, and lets `answer` serve requests as a head.
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { setTimeout } from 'node:timers';

const joinMs = 100;

export const startModelWorker = async ({
  id,
  ip,
  zone,
  service,
  domain,
  store,
  slots = 18,
  answer,
}) => {
  const born = Date.now();
  let sequence = 0;
  let staged = [];
  let models = [];
  let group = null;
  let highestToken = 0;
  let highestEpoch = 0;
  const orders = [];
  const arrivals = [];
  let address = '';

  const report = () =>
    store.write('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      phase: 'both',
      models: models.map((name) => ({ name, version: 1, adapters: [] })),
      domain,
      staged,
      group,
      born,
    });

  const setState = (state) => {
    group = { ...group, state };
    report();
  };

  const execute = (order) => {
    const isOwn = group !== null && group.name === order.group && group.epoch === order.epoch;
    if (order.operation === 'join') {
      if (order.epoch < highestEpoch) return 412;
      highestEpoch = order.epoch;
      group = {
        name: order.group,
        epoch: order.epoch,
        rank: order.members.indexOf(id),
        state: 'joining',
      };
      report();
      const joined = group;
      setTimeout(() => {
        if (group !== joined) return;
        staged = [order.model];
        models = [order.model];
        setState('ready');
      }, joinMs);
      return 202;
    }
    if (order.operation === 'phase') {
      staged = [order.model];
      report();
      return 202;
    }
    if (!['open', 'close', 'leave'].includes(order.operation)) return 400;
    if (!isOwn) return 409;
    if (order.operation === 'open') {
      if (group.rank !== 0 || group.state !== 'ready') return 409;
      setState('open');
      return 202;
    }
    if (order.operation === 'close') {
      if (group.state !== 'open') return 409;
      setState('ready');
      return 202;
    }
    group = null;
    report();
    return 202;
  };

  const take = (order) => {
    const token = order.fencing_token ?? 0;
    if (token < highestToken) return 412;
    highestToken = token;
    const status = execute(order);
    if (status === 202) sequence += 1;
    return status;
  };

  const serve = (request, response) => {
    const expected = request.headers['x-comfreydrum-expect-instance'];
    const requestId = String(request.headers['x-comfreydrum-request-id']);
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'at-server': id }).end();
        return;
      }
      if (request.url === '/report') {
        response.writeHead(200, { 'content-type': 'application/json' });
        response.end(
          JSON.stringify({
            born,
            phase: 'both',
            models,
            busy: false,
            sequence,
            queued: 0,
            active: 0,
            group,
          }),
        );
        return;
      }
      if (request.url === '/order') {
        const order = JSON.parse(Buffer.concat(chunks).toString());
        const status = take(order);
        orders.push({ ...order, status, sender: request.socket.remoteAddress, atMs: Date.now() });
        response.writeHead(status).end();
        return;
      }
      if (group === null || group.rank !== 0 || group.state !== 'open') {
        response.writeHead(421, { 'at-server': id, 'x-comfreydrum-request-id': requestId }).end();
        return;
      }
      arrivals.push({ requestId, sender: request.socket.remoteAddress, atMs: Date.now() });
      answer(request, response, requestId);
    });
  };

  const server = http.createServer({ keepAliveTimeout: 10_000 }, serve);
  await new Promise((resolve) => {
    server.listen(0, ip, resolve);
  });
  address = `${ip}:${server.address().port}`;
  report();

  return {
    id,
    address,
    orders,
    arrivals,
    /** Ends the process: nothing listens any more, and all channels are closed. */
    crash: () => {
      store.remove('servers', id);
      server.close();
      server.closeAllConnections();
    },
    isOpen: () => group?.rank === 0 && group.state === 'open',
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
