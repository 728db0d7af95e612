import type { Socket } from 'node:net';
import * as undici from 'undici';
import { observeProgress } from './observeProgress';

/**
 * Maximum number of bytes that a connection may deliver without a response head or a part of a body. Besides the head,
 * for which undici has a lower limit of its own, these are informational responses and the framing of chunks.
 */
const maxFramingBytes = 65_536;

/**
 * Lets a reset that has arrived together with data show. libuv reports such a reset as a plain end, and leaves the error to the
 * next call on the socket; an empty write sends nothing. It shows nothing while an earlier write is pending, behind which it waits.
 */
const revealReset = (socket: Socket) => {
  socket.prependListener('end', () => {
    socket.write('');
  });
};

/** Opens connections for a client that has one connection at a time, and closes those without progress. */
const createProgressMonitor = (connect: undici.buildConnector.connector) => {
  let socket: Socket | undefined;
  /** Value of `bytesRead` of the socket at the last progress. */
  let progressBytes = 0;

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
      if (opened) revealReset(opened);
      progressBytes = 0;
      callback(...result);
      // Runs after the listener of undici, which has parsed the bytes by then.
      opened?.on('readable', () => checkProgress(opened));
    });

  /**
   * Returns why the response that has just ended is not complete, if so; the error of the connection also before its listeners
   * have been called.
   */
  const findFailure = (): Error | undefined => {
    if (socket === undefined) return undefined;
    if (socket.errored) return socket.errored;
    const hasEndedEarly = socket.readableEnded && socket.writableLength > 0;
    if (!hasEndedEarly) return undefined;
    // The end of a connection that still has to carry a request is no proof: a reset looks the same while the write is pending.
    const { remoteAddress, remotePort } = socket;
    return new undici.errors.SocketError(
      `${remoteAddress}:${remotePort} ended the connection before the request was written`,
    );
  };

  return {
    connect: monitoredConnect,
    findFailure,
    hasDelivered: () => (socket?.bytesRead ?? 0) > 0,
    onProgress: () => {
      progressBytes = socket?.bytesRead ?? 0;
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
          onProgress: monitor.onProgress,
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
