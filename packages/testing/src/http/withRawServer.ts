import * as net from 'node:net';

/** Answers a request with bytes that need not be HTTP. Called at the first bytes of a connection. */
export type RawAnswer = (socket: net.Socket, firstBytes: Buffer) => void;

/** Runs `use` with a server that calls `answer` for each connection; the server is always stopped afterwards. */
export const withRawServer = async (
  answer: RawAnswer,
  use: (url: string) => Promise<void>,
): Promise<void> => {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => sockets.delete(socket));
    socket.once('data', (bytes) => answer(socket, bytes));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  try {
    await use(`http://127.0.0.1:${port}`);
  } finally {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  }
};
