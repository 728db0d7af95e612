import * as net from 'node:net';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as targetClient from './index';

const test = uvu.suite('interrupted responses');

type EndConnection = (socket: net.Socket) => void;

/**
 * Sends a request to a target that writes `bytes` and then ends the connection by `end`. Returns the body, or the kind
 * of failure.
 */
const requestFrom = async (bytes: string, end: EndConnection): Promise<string> => {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.write(bytes, () => setTimeout(() => end(socket), 20)));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const client = targetClient.createTargetClient(undefined);
  try {
    const url = `http://127.0.0.1:${port}`;
    const sent = await client.send({
      url,
      path: '/',
      method: 'GET',
      headers: [],
      body: null,
      signal: AbortSignal.timeout(2_000),
    });
    if (!sent.ok) return `failed: ${sent.error.ran}`;
    const read = await targetClient.readWholeBody(sent.value.body, url, 1_024);
    return read.ok ? `body: ${read.value.toString()}` : read.error.kind;
  } finally {
    await client.close();
    server.close();
  }
};

const closeDelimited = 'HTTP/1.1 200 OK\r\n\r\nhalf of the';
const chunked =
  'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n';
const withLength = 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 40\r\n\r\nhalf of the';

const finish: EndConnection = (socket) => socket.end();
const reset: EndConnection = (socket) => socket.resetAndDestroy();
const resetWithLastBytes: EndConnection = (socket) => {
  socket.write('answer');
  socket.resetAndDestroy();
};

test('a response without a length is complete when its connection ends, and broken when it is reset', async () => {
  assert.is(await requestFrom(closeDelimited, finish), 'body: half of the');
  assert.is(await requestFrom(closeDelimited, reset), 'answer-broken');
});

test('a response without a length is broken when its reset arrives together with its last bytes', async () => {
  const results = await Promise.all(
    Array.from({ length: 20 }, () => requestFrom(closeDelimited, resetWithLastBytes)),
  );
  assert.equal([...new Set(results)], ['answer-broken']);
});

test('a response with a length or in chunks is broken when its connection ends early', async () => {
  for (const end of [finish, reset]) {
    assert.is(await requestFrom(chunked, end), 'answer-broken');
    assert.is(await requestFrom(withLength, end), 'answer-broken');
  }
});

const informational = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n';

test('a head that breaks off anywhere is no response', async () => {
  const heads = [closeDelimited, chunked, withLength].map((text) => text.split('\r\n\r\n')[0]!);
  for (const head of heads) {
    const results = await Promise.all(
      Array.from(`${head}\r\n\r`, (_, length) => head.slice(0, length)).flatMap((part) =>
        [finish, reset].flatMap((end) =>
          ['', informational].map((before) => requestFrom(`${before}${part}`, end)),
        ),
      ),
    );
    assert.equal([...new Set(results)], ['failed: unknown']);
  }
});

test.run();
