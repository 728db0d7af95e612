import * as http from 'node:http';
import type * as net from 'node:net';
import { parseAddress } from '../proxy/Address';
import { readJson } from './readJson';
import { sendJson } from './sendJson';

/** The address at which a started stand-in listens. */
export interface StandinAddress {
  readonly url: string;
  readonly port: number;
}

/** A test server that listens between `start` and `stop`. */
export interface Standin {
  readonly start: () => Promise<StandinAddress>;
  /** Closes the listener and every connection at once. */
  readonly stop: () => Promise<void>;
  /** Returns the number of requests whose response has not ended. */
  readonly activeCount: () => number;
}

/** One request, with the named parameters of its path. */
export interface StandinCall {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly query: URLSearchParams;
  readonly parameters: Readonly<Record<string, string>>;
  /** The decoded JSON body; undefined when there is none. */
  readonly body: unknown;
  readonly bodyBytes: number;
}

/** Handles the requests of one method and path; `:name` in the path matches one segment. */
export interface StandinRoute {
  readonly method: string;
  readonly path: string;
  readonly handle: (call: StandinCall) => void | Promise<void>;
}

interface CompiledRoute extends StandinRoute {
  readonly pattern: RegExp;
}

const maxBodyBytes = 16_777_216;

const compile = (route: StandinRoute): CompiledRoute => ({
  ...route,
  pattern: new RegExp(`^${route.path.replace(/:(\w+)/g, '(?<$1>[^/]+)')}$`),
});

const decodeParameters = (groups: Readonly<Record<string, string>> | undefined) =>
  Object.fromEntries(
    Object.entries(groups ?? {}).map(([name, segment]) => [name, decodeURIComponent(segment)]),
  );

/** Creates an HTTP server with the given routes; `listen` is IP:port, port 0 picks a free one. */
export const createHttpStandin = (listen: string, routes: readonly StandinRoute[]): Standin => {
  const compiled = routes.map(compile);
  let activeCount = 0;

  const dispatch = async (request: http.IncomingMessage, response: http.ServerResponse) => {
    const [path = '/', search] = (request.url ?? '/').split('?', 2);
    const route = compiled.find(
      ({ method, pattern }) => method === request.method && pattern.test(path),
    );
    if (route === undefined) {
      sendJson(response, 404, { error: { message: `no route for ${request.method} ${path}` } });
      return;
    }
    const read = await readJson(request, maxBodyBytes);
    if (!read.ok) {
      sendJson(response, read.status, { error: { message: read.message } });
      return;
    }
    await route.handle({
      request,
      response,
      query: new URLSearchParams(search),
      parameters: decodeParameters(route.pattern.exec(path)?.groups),
      body: read.body,
      bodyBytes: read.bodyBytes,
    });
  };

  const server = http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    activeCount += 1;
    response.once('close', () => {
      activeCount -= 1;
    });
    dispatch(request, response).catch((cause: unknown) => {
      if (response.headersSent) response.destroy();
      else sendJson(response, 500, { error: { message: String(cause) } });
    });
  });

  return {
    start: () =>
      new Promise((resolve, reject) => {
        const { ip: host, port } = parseAddress(listen);
        server.once('error', reject);
        server.listen(port, host, () => {
          const { port: boundPort } = server.address() as net.AddressInfo;
          resolve({ url: `http://${host}:${boundPort}`, port: boundPort });
        });
      }),
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
    activeCount: () => activeCount,
  };
};
