import * as http from 'node:http';
import type { AddressInfo } from 'node:net';

/** An order received by an engine. */
export interface ReceivedOrder {
  readonly order: string;
  readonly groupId: string;
  readonly generation: number;
  readonly adapters?: readonly string[];
}

/**
 * An HTTP engine that serves presence, load and order requests, with faults controlled by a test.
 */
export interface FakeEngine {
  readonly instanceId: string;
  readonly url: string;
  readonly orders: () => readonly ReceivedOrder[];
  /** The number of presence requests received. */
  readonly presenceCount: () => number;
  readonly loaded: () => { readonly groupId: string | null; readonly generation: number | null };
  /** Leaves requests unanswered while paused. */
  readonly pause: (isPaused: boolean) => void;
  readonly setLeaving: (isLeaving: boolean) => void;
  readonly setWork: (running: number) => void;
  readonly kill: () => Promise<void>;
  /** Starts a new run on the same port with nothing loaded. */
  readonly restart: () => Promise<void>;
}

const readBody = async (request: http.IncomingMessage): Promise<unknown> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString() || 'null');
};

/**
 * Starts an engine on a free port. With `checksFencing`, it rejects orders with a lower generation.
 */
export const createFakeEngine = async (
  instanceId: string,
  checksFencing: boolean,
): Promise<FakeEngine> => {
  let boot = 1;
  let isPaused = false;
  let leaving = false;
  let running = 0;
  let highest = 0;
  let groupId: string | null = null;
  let generation: number | null = null;
  let presenceCount = 0;
  const orders: ReceivedOrder[] = [];

  const applyOrder = (order: ReceivedOrder): number => {
    if (checksFencing && order.generation < highest) return 409;
    highest = Math.max(highest, order.generation);
    orders.push(order);
    groupId = order.order === 'load' ? order.groupId : null;
    generation = order.order === 'load' ? order.generation : null;
    return 200;
  };

  const answer = async (request: http.IncomingMessage): Promise<readonly [number, unknown]> => {
    const phase = groupId === null ? 'empty' : 'ready';
    switch (request.url) {
      case '/presence':
        presenceCount += 1;
        return [200, { instanceId, bootId: `${boot}`, groupId, generation, phase, leaving }];
      case '/load':
        return [200, { running, waiting: 0, maxRunning: 8, kvUsedFraction: 0, atMs: 0 }];
      case '/orders':
        return [applyOrder((await readBody(request)) as ReceivedOrder), { phase }];
      default:
        return [404, {}];
    }
  };

  const handle = async (request: http.IncomingMessage, response: http.ServerResponse) => {
    if (isPaused) return;
    const [status, body] = await answer(request);
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  };

  const listen = (port: number) =>
    new Promise<http.Server>((resolve) => {
      const started = http.createServer((request, response) => {
        void handle(request, response);
      });
      started.listen(port, '127.0.0.1', () => resolve(started));
    });

  let server = await listen(0);
  const { port } = server.address() as AddressInfo;

  const kill = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });

  return {
    instanceId,
    url: `http://127.0.0.1:${port}`,
    orders: () => orders,
    presenceCount: () => presenceCount,
    loaded: () => ({ groupId, generation }),
    pause: (paused) => {
      isPaused = paused;
    },
    setLeaving: (isLeaving) => {
      leaving = isLeaving;
    },
    setWork: (count) => {
      running = count;
    },
    kill,
    restart: async () => {
      boot += 1;
      groupId = null;
      generation = null;
      server = await listen(port);
    },
  };
};
