import type * as net from 'node:net';

/** Starts listening on an address; rejects when the server fails to bind to it. */
export const listen = (
  server: net.Server,
  { host, port }: { readonly host: string; readonly port: number },
): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
