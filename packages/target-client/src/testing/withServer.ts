import * as http from 'node:http';
import type { AddressInfo } from 'node:net';

/** Runs `use` with a server on a free port. The server is always stopped afterwards; `stop` stops it earlier. */
export const withServer = async (
  listener: http.RequestListener,
  use: (url: string, stop: () => Promise<void>) => Promise<void>,
): Promise<void> => {
  const server = http.createServer(listener);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const stop = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  const { port } = server.address() as AddressInfo;
  try {
    await use(`http://127.0.0.1:${port}`, stop);
  } finally {
    await stop();
  }
};
