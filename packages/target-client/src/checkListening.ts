import * as net from 'node:net';

/** Whether a process accepts connections at an address; `unknown` if nothing answered in time. */
export type ListeningState = 'listening' | 'refused' | 'unknown';

/** Options of `checkListening`. */
export interface ListeningCheckOptions {
  /** IP:port to connect to. */
  readonly address: string;
  readonly localAddress: string | undefined;
  readonly timeoutMs: number;
}

/** Opens a connection to an address and closes it without sending anything. */
export const checkListening = ({
  address,
  localAddress,
  timeoutMs,
}: ListeningCheckOptions): Promise<ListeningState> =>
  new Promise((resolve) => {
    const { hostname, port } = new URL(`http://${address}`);
    const socket = net.connect({
      host: hostname,
      port: Number(port),
      ...(localAddress === undefined ? {} : { localAddress }),
    });
    const settle = (state: ListeningState) => {
      socket.destroy();
      resolve(state);
    };
    // A busy process may find the timeout and the answer in the same iteration of the event loop.
    socket.setTimeout(timeoutMs, () => setImmediate(() => settle('unknown')));
    socket.once('connect', () => settle('listening'));
    socket.once('error', (cause: NodeJS.ErrnoException) =>
      settle(cause.code === 'ECONNREFUSED' ? 'refused' : 'unknown'),
    );
  });
