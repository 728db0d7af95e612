import type * as net from 'node:net';

/** Starts a server at an address; rejects when it can't have the address. */
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
