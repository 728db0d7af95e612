// A stand-in for the platform's store: objects with revisions, conditional writes, lists in pages, watches with history.
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { deserialize, serialize } from 'node:v8';

const clone = (value) => deserialize(serialize(value));

const pageEntries = 500;
const historyMs = 20_000;

const readJson = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : JSON.parse(text);
};

export const startStore = async (ip) => {
  const kinds = new Map();
  let events = [];
  let revision = 100;
  let droppedUpTo = 0;
  let era = 1;
  let isAway = false;
  const waiting = new Set();
  const hooks = { beforeCall: async () => undefined, beforeAnswer: async () => undefined };

  const objectsOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };

  const record = (kind, object, deleted) => {
    events.push({ kind, revision, object: clone(object), deleted, atMs: Date.now() });
    while (events.length > 0 && Date.now() - events[0].atMs > historyMs) {
      droppedUpTo = events.shift().revision;
    }
    [...waiting].forEach((check) => check());
  };

  const write = (kind, name, spec) => {
    const objects = objectsOf(kind);
    const before = objects.get(name);
    if (before !== undefined && JSON.stringify(before.spec) === JSON.stringify(spec)) return before;
    revision += 1;
    const object = {
      metadata: {
        name,
        revision,
        created_at: before?.metadata.created_at ?? Date.now(),
        finalizers: [],
        deleting: false,
      },
      spec,
      status: before?.status ?? null,
    };
    objects.set(name, object);
    record(kind, object, false);
    return object;
  };

  const remove = (kind, name) => {
    const object = objectsOf(kind).get(name);
    if (object === undefined) return;
    objectsOf(kind).delete(name);
    revision += 1;
    record(kind, object, true);
  };

  const answer = async (response, status, body, call) => {
    await hooks.beforeAnswer(call);
    if (response.destroyed) return;
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': String(era) });
    response.end(JSON.stringify(body));
  };

  const watch = (response, kind, query, call) => {
    const since = Number(query.get('watch'));
    const endsAtMs = Date.now() + Number(query.get('wait_ms') ?? 0);
    let timer;
    let check = () => {};
    const settle = (status, body) => {
      waiting.delete(check);
      clearTimeout(timer);
      void answer(response, status, body, call);
    };
    check = () => {
      if (since < droppedUpTo || since > revision) {
        settle(410, {});
        return;
      }
      const found = events.filter((event) => event.kind === kind && event.revision > since);
      if (found.length === 0 && Date.now() < endsAtMs) return;
      settle(200, {
        events: found.map(({ object, deleted }) => ({ object, deleted })),
        at: revision,
      });
    };
    waiting.add(check);
    timer = setTimeout(check, Math.max(1, endsAtMs - Date.now()) + 1);
    response.once('close', () => {
      waiting.delete(check);
      clearTimeout(timer);
    });
    check();
  };

  const serve = async (request, response) => {
    const url = new URL(request.url, 'http://store');
    const [, , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    const body = request.method === 'GET' ? {} : await readJson(request);
    const sender = request.socket.remoteAddress;
    const call = {
      method: request.method,
      kind,
      name,
      sender,
      body,
      watches: url.searchParams.has('watch'),
    };
    const refusedWith = isAway ? 503 : await hooks.beforeCall(call);
    if (refusedWith !== undefined) {
      await answer(response, refusedWith, {}, call);
      return;
    }
    const existing = name === undefined ? undefined : objectsOf(kind).get(name);
    if (request.method === 'GET') {
      if (call.watches) watch(response, kind, url.searchParams, call);
      else if (name === undefined) {
        const after = url.searchParams.get('after') ?? '';
        const names = [...objectsOf(kind).keys()].sort().filter((one) => one > after);
        const entries = names.slice(0, pageEntries).map((one) => objectsOf(kind).get(one));
        await answer(
          response,
          200,
          { entries, has_more: names.length > pageEntries, at: revision },
          call,
        );
      } else await answer(response, existing === undefined ? 404 : 200, existing ?? {}, call);
      return;
    }
    if (request.method === 'POST') {
      const known = objectsOf(kind).get(body.metadata.name);
      if (known !== undefined) await answer(response, 409, known, call);
      else await answer(response, 201, write(kind, body.metadata.name, body.spec), call);
      return;
    }
    if (existing === undefined) {
      await answer(response, 404, {}, call);
      return;
    }
    const expected = body.metadata?.revision ?? url.searchParams.get('revision') ?? undefined;
    if (expected !== undefined && Number(expected) !== existing.metadata.revision) {
      await answer(response, 409, existing, call);
    } else if (request.method === 'PUT')
      await answer(response, 200, write(kind, name, body.spec), call);
    else {
      remove(kind, name);
      await answer(response, 200, {}, call);
    }
  };

  const server = http.createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  await new Promise((resolve) => {
    server.listen(0, ip, resolve);
  });
  return {
    address: `${ip}:${server.address().port}`,
    write: (kind, name, spec) => (isAway ? undefined : write(kind, name, spec)),
    remove: (kind, name) => (isAway ? undefined : remove(kind, name)),
    read: (kind, name) => objectsOf(kind).get(name)?.spec,
    hooks,
    /** Returns the present content, from which the store can come back. */
    copy: () => ({ kinds: clone(kinds), events: clone(events), revision }),
    /** Is away for a moment and comes back from a copy, in the next era; watches that wait are cut off. */
    comeBackFrom: async (copy, awayMs) => {
      isAway = true;
      server.closeAllConnections();
      await new Promise((resolve) => {
        setTimeout(resolve, awayMs);
      });
      kinds.clear();
      copy.kinds.forEach((objects, kind) => kinds.set(kind, objects));
      events = copy.events;
      revision = copy.revision;
      era += 1;
      waiting.clear();
      isAway = false;
    },
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
