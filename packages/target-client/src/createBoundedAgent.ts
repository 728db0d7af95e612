import type { Socket } from 'node:net';
import * as undici from 'undici';
import { holdEndWhileWriting } from './holdEndWhileWriting';
import { observeProgress } from './observeProgress';

/**
 * Maximum number of bytes that a connection may deliver without a response head or a part of a body. Besides the head,
 * for which undici has a lower limit of its own, these are informational responses and the framing of chunks.
 */
const maxFramingBytes = 65_536;

/**
 * Lets a reset that has arrived together with data show. libuv reports such a reset as a plain end, and leaves the error to the
 * next call on the socket; an empty write sends nothing.
 */
const revealReset = (socket: Socket) => {
  socket.prependListener('end', () => {
    if (!socket.writableEnded) socket.write('');
  });
};

/** Opens connections for a client that has one connection at a time, and closes those without progress. */
const createProgressMonitor = (connect: undici.buildConnector.connector) => {
  let socket: Socket | undefined;
  /** Value of `bytesRead` of the socket at the last progress. */
  let progressBytes = 0;
  let isReadingResponse = false;

  const checkProgress = (checked: Socket) => {
    const consumedBytes = checked.bytesRead - checked.readableLength;
    if (checked !== socket || consumedBytes - progressBytes <= maxFramingBytes) return;
    const address = `${checked.remoteAddress}:${checked.remotePort}`;
    checked.destroy(
      new Error(`${address} sent over ${maxFramingBytes} bytes that belong to no response body`),
    );
  };

  const monitoredConnect: undici.buildConnector.connector = (options, callback) =>
    connect(options, (...result) => {
      const [, opened] = result;
      socket = opened ?? undefined;
      if (opened) {
        revealReset(opened);
        holdEndWhileWriting(opened, () => isReadingResponse);
      }
      progressBytes = 0;
      callback(...result);
      // Runs after the listener of undici, which has parsed the bytes by then.
      opened?.on('readable', () => checkProgress(opened));
    });

  return {
    connect: monitoredConnect,
    /** Returns the error of the connection, also before its listeners have been called. */
    findFailure: () => socket?.errored ?? undefined,
    hasDelivered: () => (socket?.bytesRead ?? 0) > 0,
    onProgress: () => {
      progressBytes = socket?.bytesRead ?? 0;
    },
    onHead: () => {
      isReadingResponse = true;
    },
    onEnd: () => {
      isReadingResponse = false;
    },
  };
};

/** A request to a bounded agent. */
export interface BoundedDispatchOptions extends undici.Dispatcher.DispatchOptions {
  /** Called when the request is about to be written, with whether its connection has delivered bytes before. */
  readonly onConnection?: (isReused: boolean) => void;
}

const createBoundedClient = (origin: URL, options: undici.Client.Options): undici.Client => {
  const { connect } = options;
  const connector = typeof connect === 'function' ? connect : undici.buildConnector({ ...connect });
  const monitor = createProgressMonitor(connector);
  const client = new undici.Client(origin, { ...options, connect: monitor.connect, pipelining: 1 });
  const dispatch = client.dispatch.bind(client);
  return Object.assign(client, {
    dispatch: (request: BoundedDispatchOptions, handler: undici.Dispatcher.DispatchHandler) =>
      dispatch(
        request,
        observeProgress(handler, {
          onStart: () => {
            request.onConnection?.(monitor.hasDelivered());
            monitor.onProgress();
          },
          onHead: monitor.onHead,
          onProgress: monitor.onProgress,
          onEnd: monitor.onEnd,
          findFailure: monitor.findFailure,
        }),
      ),
  });
};

/**
 * Creates an agent that closes connections which deliver bytes without end that are no response. Bodies are limited by
 * the option `maxResponseSize` or by their readers.
 */
export const createBoundedAgent = (options: undici.Agent.Options): undici.Agent =>
  new undici.Agent({
    ...options,
    factory: (origin, agentOptions: undici.Agent.Options) =>
      new undici.Pool(origin, { ...agentOptions, factory: createBoundedClient }),
  });
