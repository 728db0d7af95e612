// A small stand-in for the platform's store: objects by kind and name, one revision counter, watches over a
// history of all changes, each of which is one event, in their order.
import { Buffer } from 'node:buffer';
import { URL } from 'node:url';
import { clearTimeout, setTimeout } from 'node:timers';
import * as http from 'node:http';

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : JSON.parse(text);
};

const pageSize = 500;

export const startStore = async ({ host = '127.0.0.1', era: firstEra } = {}) => {
  const kinds = new Map();
  const waiting = new Set();
  let changes = [];
  let revision = 100;
  let era = firstEra;
  let isAway = false;

  const objectsOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };
  const record = (kind, object, deleted) => {
    changes.push({ kind, revision, event: { object, deleted } });
    [...waiting].forEach((check) => check());
  };
  const put = (kind, name, spec, finalizers = []) => {
    const before = objectsOf(kind).get(name);
    if (before && JSON.stringify(before.spec) === JSON.stringify(spec)) return before;
    revision += 1;
    const created = before?.metadata.created_at ?? Date.now();
    const metadata = { name, revision, created_at: created, finalizers, deleting: false };
    const object = { metadata, spec, status: before?.status ?? null };
    objectsOf(kind).set(name, object);
    record(kind, object, false);
    return object;
  };
  const remove = (kind, name) => {
    const object = objectsOf(kind).get(name);
    if (object === undefined) return;
    revision += 1;
    objectsOf(kind).delete(name);
    record(kind, { ...object, metadata: { ...object.metadata, revision } }, true);
  };
  const respond = (response, status, body) => {
    const eraHeader = era === undefined ? {} : { 'store-era': String(era) };
    response.writeHead(status, { 'content-type': 'application/json', ...eraHeader });
    response.end(body === undefined ? undefined : JSON.stringify(body));
  };
  const watch = (response, kind, query) => {
    const since = Number(query.get('watch'));
    if (since > revision) {
      respond(response, 410, {});
      return;
    }
    const answer = (isOver) => {
      const events = changes
        .filter((change) => change.kind === kind && change.revision > since)
        .map(({ event }) => event);
      if (events.length === 0 && !isOver) return false;
      respond(response, 200, { events, at: revision });
      return true;
    };
    if (answer(false)) return;
    let timer;
    const check = () => {
      if (!answer(false)) return;
      waiting.delete(check);
      clearTimeout(timer);
    };
    const giveUp = () => {
      waiting.delete(check);
      clearTimeout(timer);
    };
    timer = setTimeout(
      () => {
        giveUp();
        answer(true);
      },
      Number(query.get('wait_ms') ?? 0),
    );
    waiting.add(check);
    response.once('close', giveUp);
  };
  const write = async (request, response, kind, name, query) => {
    const { metadata = {}, spec, ...rest } = await readBody(request);
    const objectName = name ?? metadata.name;
    const before = objectsOf(kind).get(objectName);
    const expected =
      metadata.revision ?? (query.has('revision') ? Number(query.get('revision')) : undefined);
    if (request.method === 'POST') {
      if (before) respond(response, 409, before);
      else respond(response, 200, put(kind, objectName, spec));
      return;
    }
    if (!before) respond(response, 404, {});
    else if (expected !== undefined && expected !== before.metadata.revision)
      respond(response, 409, before);
    else if (request.method === 'DELETE') {
      remove(kind, objectName);
      respond(response, 200, before);
    } else respond(response, 200, put(kind, objectName, spec, rest.finalizers));
  };
  const serve = async (request, response) => {
    if (isAway) {
      request.resume();
      respond(response, 503, {});
      return;
    }
    const url = new URL(request.url, 'http://store');
    const [, , kind = '', name] = url.pathname.split('/').map(decodeURIComponent);
    const query = url.searchParams;
    if (request.method !== 'GET') await write(request, response, kind, name, query);
    else if (query.has('watch')) watch(response, kind, query);
    else if (name !== undefined) {
      const object = objectsOf(kind).get(name);
      respond(response, object ? 200 : 404, object ?? {});
    } else {
      const names = [...objectsOf(kind).keys()]
        .sort()
        .filter((each) => each > (query.get('after') ?? ''));
      const entries = names.slice(0, pageSize).map((each) => objectsOf(kind).get(each));
      respond(response, 200, { entries, has_more: names.length > pageSize, at: revision });
    }
  };
  const server = http.createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    put,
    remove,
    revision: () => revision,
    copy: () => ({
      kinds: new Map([...kinds].map(([kind, objects]) => [kind, new Map(objects)])),
      changes: [...changes],
      revision,
    }),
    /** Answers nothing but 503 until it comes back. */
    goAway: () => {
      isAway = true;
      server.closeAllConnections();
    },
    /** Comes back from a copy, in the next era. */
    comeBackFrom: (copy) => {
      kinds.clear();
      copy.kinds.forEach((objects, kind) => kinds.set(kind, new Map(objects)));
      ({ revision } = copy);
      changes = [...copy.changes];
      era += 1;
      isAway = false;
    },
    read: (kind, name) => objectsOf(kind).get(name)?.spec,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
