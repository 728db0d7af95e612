// A stand-in for the platform's store: objects by kind and name, conditional writes, watches, and the drill in which the
// store comes back from an older copy (`Store-Era` rises, revisions go back).
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import * as http from 'node:http';

const pageSize = 500;
const pollMs = 5;

const readJson = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : JSON.parse(text);
};

const withoutSequence = (spec) => JSON.stringify({ ...spec, sequence: undefined });

export const createStore = async (host) => {
  let objects = new Map();
  let changes = [];
  let revision = 10;
  let oldestRevision = 0;
  let era = 1;
  let isDown = false;
  const writtenOutside = new Map();
  const listeners = [];
  const sockets = new Set();
  const keyOf = (kind, name) => `${kind}/${name}`;

  const put = (kind, name, spec, { ignoreSequence = false } = {}) => {
    const key = keyOf(kind, name);
    const existing = objects.get(key);
    const same = ignoreSequence
      ? existing && withoutSequence(existing.spec) === withoutSequence(spec)
      : existing && JSON.stringify(existing.spec) === JSON.stringify(spec);
    if (same) return existing;
    revision += 1;
    const object = { metadata: { name, revision, finalizers: [] }, spec };
    objects.set(key, object);
    changes.push({ revision, kind, object, deleted: false });
    return object;
  };

  const remove = (kind, name) => {
    const key = keyOf(kind, name);
    const object = objects.get(key);
    if (object === undefined) return;
    objects.delete(key);
    revision += 1;
    changes.push({ revision, kind, object, deleted: true });
  };

  const respond = (response, status, body) => {
    const text = body === undefined ? '{}' : JSON.stringify(body);
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': String(era) });
    response.end(text);
  };

  const list = (response, kind, query) => {
    const after = query.get('after') ?? '';
    const names = [...objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object.metadata.name)
      .filter((name) => name > after)
      .sort();
    respond(response, 200, {
      entries: names.slice(0, pageSize).map((name) => objects.get(keyOf(kind, name))),
      has_more: names.length > pageSize,
      at: revision,
    });
  };

  const watch = (response, kind, query) => {
    const since = Number(query.get('watch'));
    const startedInEra = era;
    const endAtMs = performance.now() + Number(query.get('wait_ms') ?? 0);
    const timer = setInterval(() => {
      if (isDown || startedInEra !== era) {
        clearInterval(timer);
        response.destroy();
        return;
      }
      const isGone = since < oldestRevision || since > revision;
      const events = changes
        .filter((change) => change.kind === kind && change.revision > since)
        .map(({ object, deleted }) => ({ object, deleted }));
      if (!isGone && events.length === 0 && performance.now() < endAtMs) return;
      clearInterval(timer);
      if (isGone) respond(response, 410);
      else respond(response, 200, { events, at: revision });
    }, pollMs);
    response.once('close', () => clearInterval(timer));
  };

  const write = async (request, response, kind, name, query) => {
    const body = await readJson(request);
    const objectName = name ?? body.metadata?.name;
    const existing = objects.get(keyOf(kind, objectName));
    const named = query.get('revision');
    const expected = body.metadata?.revision ?? (named === null ? undefined : Number(named));
    if (isDown) {
      response.destroy();
      return;
    }
    if (request.method === 'POST' && existing !== undefined) {
      respond(response, 409, existing);
      return;
    }
    if (request.method !== 'POST' && existing === undefined) {
      respond(response, 404);
      return;
    }
    if (expected !== undefined && existing?.metadata.revision !== expected) {
      respond(response, 409, existing);
      return;
    }
    if (request.method === 'DELETE') {
      remove(kind, objectName);
      respond(response, 200);
      return;
    }
    const object = put(kind, objectName, body.spec);
    listeners.forEach((listener) => listener(request, kind, object));
    respond(response, 200, object);
  };

  const serve = async (request, response) => {
    if (isDown) {
      request.resume();
      respond(response, 503);
      return;
    }
    const url = new URL(request.url, 'http://store');
    const [, , kind = '', name] = url.pathname.split('/').map(decodeURIComponent);
    if (request.method !== 'GET') await write(request, response, kind, name, url.searchParams);
    else if (url.searchParams.has('watch')) watch(response, kind, url.searchParams);
    else if (name === undefined) list(response, kind, url.searchParams);
    else {
      const object = objects.get(keyOf(kind, name));
      respond(response, object === undefined ? 404 : 200, object);
    }
  };

  const server = http.createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });

  return {
    address: `${host}:${server.address().port}`,
    revision: () => revision,
    era: () => era,
    isUp: () => !isDown,
    read: (kind, name) => objects.get(keyOf(kind, name)),
    onWrite: (listener) => listeners.push(listener),
    /** Writes as the operator does; the operator writes it again after a return from a copy. */
    writeAsOperator: (kind, name, spec) => {
      writtenOutside.set(keyOf(kind, name), { kind, name, spec });
      if (!isDown) put(kind, name, spec);
    },
    /** Writes as a worker does; false while the store is away. */
    writeAsWorker: (name, spec) => {
      if (isDown) return false;
      put('servers', name, spec, { ignoreSequence: true });
      return true;
    },
    remove: (kind, name) => remove(kind, name),
    copy: () => ({ objects: new Map(objects), revision, changes: [...changes], oldestRevision }),
    /** Goes away for a moment and comes back from a copy; the operator writes again at once. */
    comeBackFrom: async (copy, awayMs) => {
      isDown = true;
      sockets.forEach((socket) => socket.destroy());
      await new Promise((resolve) => {
        setTimeout(resolve, awayMs);
      });
      objects = new Map(copy.objects);
      changes = [...copy.changes];
      revision = copy.revision;
      oldestRevision = copy.oldestRevision;
      era += 1;
      isDown = false;
      writtenOutside.forEach(({ kind, name, spec }) => put(kind, name, spec));
    },
    setDown: (down) => {
      isDown = down;
      if (down) sockets.forEach((socket) => socket.destroy());
    },
    stop: () =>
      new Promise((resolve) => {
        server.close(resolve);
        server.closeAllConnections();
      }),
  };
};
