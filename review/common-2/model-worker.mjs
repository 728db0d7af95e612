// A stand-in for a model worker: it joins groups, opens and closes them as ordered, and streams events as head.
import { Buffer } from 'node:buffer';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import * as http from 'node:http';

const heartbeatMs = 1_200;
const joinMs = 200;
const formMs = 300;

export const startModelWorker = async ({
  store,
  id,
  service = 'models',
  zone = 'a',
  domain = 'd1',
  host = '127.0.0.1',
  eventCount = 20,
  eventIntervalMs = 30,
  isUnframed = false,
  record,
  handle,
}) => {
  const runs = [];
  const orders = [];
  const born = Date.now();
  const staged = new Set();
  let fence = 0;
  let highestEpoch = 0;
  let sequence = 0;
  let active = 0;
  let group;
  let address;
  let state = 'ready';

  const report = () => {
    const { name, epoch, rank, state: groupState } = group ?? {};
    store.put('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots: 18,
      state,
      cold_remaining_ms: 0,
      phase: 'both',
      domain,
      staged: [...staged],
      models:
        group && groupState !== 'joining' ? [{ name: group.model, version: 1, adapters: [] }] : [],
      group: group ? { name, epoch, rank, state: groupState } : null,
      sequence,
      born,
    });
  };
  const moveTo = (expected, next) => {
    if (group !== expected) return;
    group.state = next;
    report();
  };
  const isCurrent = (order) => group?.name === order.group && group.epoch === order.epoch;
  const carryOut = (order) => {
    orders.push({ atMs: Date.now(), ...order });
    record?.({ event: 'order', worker: id, ...order });
    if (order.fencing_token !== undefined) {
      if (order.fencing_token < fence) return 412;
      fence = order.fencing_token;
    }
    switch (order.operation) {
      case 'join': {
        if (order.epoch < highestEpoch) return 412;
        if (isCurrent(order)) return order.members.join() === group.members.join() ? 200 : 412;
        highestEpoch = order.epoch;
        staged.add(order.model);
        const joined = {
          name: order.group,
          epoch: order.epoch,
          model: order.model,
          members: order.members,
          rank: order.members.indexOf(id),
          state: 'joining',
        };
        group = joined;
        report();
        setTimeout(() => moveTo(joined, 'ready'), joinMs);
        return 202;
      }
      case 'open':
        if (!isCurrent(order) || group.rank !== 0) return 409;
        if (group.state === 'open') return 200;
        if (group.state !== 'ready') return 409;
        setTimeout(moveTo, formMs, group, 'open');
        return 202;
      case 'close':
        if (!isCurrent(order)) return 409;
        moveTo(group, 'ready');
        return 202;
      case 'leave':
        if (!isCurrent(order)) return 409;
        group = undefined;
        report();
        return 202;
      case 'phase':
        staged.add(order.model);
        report();
        return 202;
      default:
        return 400;
    }
  };
  const stream = (request, response, requestId) => {
    let next = Number(request.headers['last-event-id'] ?? 0) + 1;
    // Without a length and chunks the answer ends with its channel.
    if (isUnframed) {
      Object.assign(response, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
    }
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-comfreydrum-request-id': requestId,
      'x-comfreydrum-server-stamp': `stamp.${id}.${requestId}`,
    });
    active += 1;
    const ticker = setInterval(() => {
      response.write(`id: ${next}\ndata: piece ${next} of ${requestId}\n\n`);
      next += 1;
      if (next > eventCount) {
        clearInterval(ticker);
        response.end();
      }
    }, eventIntervalMs);
    response.once('close', () => {
      active -= 1;
      clearInterval(ticker);
    });
  };
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const expected = request.headers['x-comfreydrum-expect-instance'];
      const requestId = request.headers['x-comfreydrum-request-id'];
      const refuse = (status) => {
        response.writeHead(status, {
          'x-comfreydrum-not-run': '1',
          'x-comfreydrum-request-id': requestId ?? '',
        });
        response.end();
      };
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'x-comfreydrum-instance-id': id }).end();
      } else if (request.url === '/order') {
        const status = carryOut(JSON.parse(Buffer.concat(chunks).toString()));
        sequence += status === 202 ? 1 : 0;
        response.writeHead(status).end();
      } else if (request.url === '/report' || request.url === '/healthz') {
        response.writeHead(200, {
          'content-type': 'application/json',
          'x-comfreydrum-instance-id': id,
        });
        response.end(
          JSON.stringify({
            phase: 'both',
            busy: false,
            sequence,
            queued: 0,
            active,
            pace: 1,
            born,
          }),
        );
      } else if (group?.rank !== 0) refuse(421);
      else if (group.state !== 'open') refuse(503);
      else {
        runs.push({ requestId, atMs: Date.now(), lastEventId: request.headers['last-event-id'] });
        record?.({
          event: 'run',
          worker: id,
          requestId,
          lastEventId: request.headers['last-event-id'],
        });
        if (handle) handle({ request, response, requestId, body: Buffer.concat(chunks), stream });
        else stream(request, response, requestId);
      }
    });
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  address = `${host}:${server.address().port}`;
  report();
  const timer = setInterval(report, heartbeatMs);
  return {
    id,
    address,
    runs,
    orders,
    isOpen: () => group?.state === 'open',
    isHead: () => group?.rank === 0,
    /** Reports that the worker leaves; it serves on. */
    drain: () => {
      state = 'draining';
      report();
    },
    stop: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
};
