// A loopback proxy for TCP channels, which can make the open ones silent for good while new ones work.
import * as net from 'node:net';

export const createProxy = async (host, targetAddress) => {
  const [targetHost, targetPort] = targetAddress.split(':');
  const pairs = new Set();

  const server = net.createServer((inner) => {
    const outer = net.connect({ host: targetHost, port: Number(targetPort) });
    const pair = { inner, outer, isSilent: false };
    pairs.add(pair);
    const forward = (from, to) => {
      from.on('data', (chunk) => {
        if (!pair.isSilent) to.write(chunk);
      });
      from.on('end', () => {
        if (!pair.isSilent) to.end();
      });
      from.on('error', () => {
        if (!pair.isSilent) to.destroy();
      });
      from.on('close', () => {
        if (!pair.isSilent) to.destroy();
        if (inner.destroyed && outer.destroyed) pairs.delete(pair);
      });
    };
    forward(inner, outer);
    forward(outer, inner);
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });

  return {
    address: `${host}:${server.address().port}`,
    /** Makes the open channels silent; returns how many. */
    silence: () => {
      const open = [...pairs].filter(({ inner, isSilent }) => !isSilent && !inner.destroyed);
      open.forEach((pair) => Object.assign(pair, { isSilent: true }));
      return open.length;
    },
    stop: () => {
      server.close();
      pairs.forEach(({ inner, outer }) => {
        inner.destroy();
        outer.destroy();
      });
    },
  };
};
