import { once } from 'node:events';
import * as dgram from 'node:dgram';
import * as net from 'node:net';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as testing from '../index';

const callerIp = '127.0.31.1';
const otherIp = '127.0.31.2';
const targetIp = '127.0.31.9';

interface Context {
  proxy: testing.FaultProxy;
  echo: net.Server;
  target: string;
  sockets: net.Socket[];
}

const test = uvu.suite<Context>('fault proxy');

test.before.each(async (context) => {
  context.proxy = testing.createFaultProxy(7);
  context.sockets = [];
  context.echo = net.createServer((socket) => {
    context.sockets.push(socket);
    socket.on('error', () => {});
    socket.pipe(socket);
  });
  context.echo.listen(0, targetIp);
  await once(context.echo, 'listening');
  context.target = `${targetIp}:${(context.echo.address() as net.AddressInfo).port}`;
});

test.after.each(async ({ proxy, echo, sockets }) => {
  await proxy.stop();
  sockets.forEach((socket) => socket.destroy());
  echo.close();
});

const open = (address: string, fromIp: string) => {
  const [host, port] = address.split(':') as [string, string];
  const socket = net.connect({ host, port: Number(port), localAddress: fromIp });
  const state = { text: '', isClosed: false };
  socket.on('data', (chunk) => {
    state.text += chunk.toString();
  });
  socket.on('error', () => {});
  socket.on('close', () => {
    state.isClosed = true;
  });
  return { socket, state };
};

const waitForEcho = (state: { readonly text: string }, text: string) =>
  testing.waitUntil(() => state.text === text, 2_000, `the echo of "${text}", not "${state.text}"`);

test('delays the bytes of a cut link and delivers them once healed', async (context) => {
  const { proxy, target } = context;
  const address = await proxy.forward(`${targetIp}:0`, target);
  const cut = open(address, callerIp);
  const healthy = open(address, otherIp);
  cut.socket.write('a');
  healthy.socket.write('a');
  await Promise.all([waitForEcho(cut.state, 'a'), waitForEcho(healthy.state, 'a')]);
  proxy.updateLinkFault(callerIp, targetIp, { isCut: true });
  cut.socket.write('b');
  healthy.socket.write('b');
  await waitForEcho(healthy.state, 'ab');
  assert.is(cut.state.text, 'a');
  proxy.heal();
  await waitForEcho(cut.state, 'ab');
  assert.is(context.sockets[0]!.remoteAddress, callerIp);
});

test('cuts a link in one direction only', async ({ proxy, target, sockets }) => {
  const address = await proxy.forward(`${targetIp}:0`, target);
  proxy.updateLinkFault(targetIp, callerIp, { isCut: true });
  const { socket, state } = open(address, callerIp);
  let received = '';
  await testing.waitUntil(() => sockets.length === 1, 2_000, 'the connection to arrive');
  sockets[0]!.on('data', (chunk) => {
    received += chunk.toString();
  });
  socket.write('there');
  await testing.waitUntil(() => received === 'there', 2_000, 'the bytes to arrive');
  assert.is(state.text, '');
  proxy.heal();
  await waitForEcho(state, 'there');
});

test('does not forward the close of the target to a caller on a cut link', async ({
  proxy,
  target,
  sockets,
}) => {
  const address = await proxy.forward(`${targetIp}:0`, target);
  const { socket, state } = open(address, callerIp);
  socket.write('a');
  await waitForEcho(state, 'a');
  proxy.cutBetween(callerIp, targetIp);
  sockets[0]!.destroy();
  await once(sockets[0]!, 'close');
  assert.not.ok(state.isClosed);
  proxy.heal();
  await testing.waitUntil(() => state.isClosed, 2_000, 'the close to arrive');
});

test('resets open connections and refuses new ones', async ({ proxy, target }) => {
  const address = await proxy.forward(`${targetIp}:0`, target);
  const first = open(address, callerIp);
  first.socket.write('a');
  await waitForEcho(first.state, 'a');
  proxy.updateLinkFault(callerIp, targetIp, { isRefused: true });
  proxy.resetConnections(targetIp, callerIp);
  const second = open(address, callerIp);
  const areClosed = () => first.state.isClosed && second.state.isClosed;
  await testing.waitUntil(areClosed, 2_000, 'both connections to be closed');
});

test('refuses connections while the target does not listen', async ({ proxy, target, echo }) => {
  const address = await proxy.forward(`${targetIp}:0`, target);
  echo.close();
  await once(echo, 'close');
  const connectCode = () =>
    new Promise<string>((resolve) => {
      const [host, port] = address.split(':') as [string, string];
      const socket = net.connect({ host, port: Number(port) });
      socket.once('error', (cause) => resolve('code' in cause ? String(cause.code) : ''));
      socket.once('connect', () => socket.write('a'));
      socket.on('data', () => {
        socket.destroy();
        resolve('answered');
      });
    });
  const isRefused = async () => (await connectCode()) === 'ECONNREFUSED';
  await testing.waitUntil(isRefused, 2_000, 'the proxy to refuse');
  echo.listen(Number(target.split(':')[1]), targetIp);
  const isAnswered = async () => (await connectCode()) === 'answered';
  await testing.waitUntil(isAnswered, 2_000, 'the proxy to accept again');
});

const exchangeDatagrams = async (proxy: testing.FaultProxy, count: number) => {
  const target = dgram.createSocket('udp4');
  target.on('message', (message, { port, address }) => target.send(message, port, address));
  target.bind(0, targetIp);
  await once(target, 'listening');
  const advertised = await proxy.forward(
    `${targetIp}:0`,
    `${targetIp}:${target.address().port}`,
    'both',
  );
  const caller = dgram.createSocket('udp4');
  const received: number[] = [];
  caller.on('message', (message) => received.push(Number(message.toString())));
  caller.bind(0, callerIp);
  await once(caller, 'listening');
  const [ip, port] = advertised.split(':') as [string, string];
  const send = (index: number) => caller.send(String(index), Number(port), ip);
  Array.from({ length: count }, (_, index) => send(index));
  return {
    received,
    send,
    close: () => {
      caller.close();
      target.close();
    },
  };
};

test('drops, duplicates and reorders the given fractions of datagrams', async ({ proxy }) => {
  proxy.updateLinkFault(callerIp, targetIp, { dropFraction: 0.5 });
  proxy.updateLinkFault(targetIp, callerIp, { duplicateFraction: 0.5, jitterMs: 20 });
  const exchange = await exchangeDatagrams(proxy, 100);
  await testing.waitUntil(() => exchange.received.length >= 60, 2_000, 'most datagrams');
  proxy.heal();
  const last = 1_000;
  exchange.send(last);
  await testing.waitUntil(() => exchange.received.includes(last), 2_000, 'the last datagram');
  const distinct = new Set(exchange.received);
  assert.ok(distinct.size > 30 && distinct.size < 70, `${distinct.size} arrived`);
  assert.ok(exchange.received.length > distinct.size + 10, 'some arrived twice');
  const sorted = [...exchange.received].sort((a, b) => a - b);
  assert.not.equal(exchange.received, sorted);
  exchange.close();
});

test.run();
