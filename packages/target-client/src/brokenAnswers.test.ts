import type * as net from 'node:net';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as targetClient from './index';

const test = uvu.suite('interrupted responses');

type EndConnection = (socket: net.Socket) => void;

const maxBodyBytes = 1_024;

/** Sends a request to a target that answers its first bytes, a GET without a body. Returns the body, or the kind of failure. */
const sendTo = async (answer: testing.RawAnswer, body: Buffer | null): Promise<string> => {
  const client = targetClient.createTargetClient(undefined);
  let result = '';
  await testing.withRawServer(answer, async (url) => {
    const sent = await client.send({
      url,
      path: '/',
      method: body === null ? 'GET' : 'POST',
      headers: [],
      body,
      signal: AbortSignal.timeout(2_000),
    });
    if (!sent.ok) {
      result = `failed: ${sent.error.ran}`;
      return;
    }
    const read = await targetClient.readWholeBody(sent.value.body, url, maxBodyBytes);
    result = read.ok ? `body: ${read.value.toString()}` : read.error.kind;
  });
  await client.close();
  return result;
};

/** Sends a request to a target that writes `bytes` and then ends the connection by `end`. */
const requestFrom = (bytes: string, end: EndConnection): Promise<string> =>
  sendTo((socket) => socket.write(bytes, () => setTimeout(() => end(socket), 20)), null);

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

/** More than the socket buffers of both sides hold, so that the target answers while the request is being written. */
const upload = Buffer.alloc(8_000_000);
const resetDelaysMs = [0, 1, 5];

/** Writes an answer without reading on, and ends the connection at once or after a delay. */
const answerEarly =
  (bytes: string, end: EndConnection, delayMs?: number): testing.RawAnswer =>
  (socket) => {
    socket.pause();
    socket.write(bytes);
    if (delayMs === undefined) end(socket);
    else setTimeout(() => end(socket), delayMs);
  };

test('a response without a length is broken when it is reset while its request is written', async () => {
  const results: string[] = [];
  for (const delayMs of [undefined, ...resetDelaysMs]) {
    for (let count = 0; count < 10; count += 1) {
      results.push(await sendTo(answerEarly(closeDelimited, reset, delayMs), upload));
    }
  }
  assert.equal(
    results.filter((result) => result.startsWith('body')),
    [],
  );
});

const finishThenReset: EndConnection = (socket) => {
  socket.end();
  setTimeout(() => socket.resetAndDestroy(), 20);
};
const finishThenRead: EndConnection = (socket) => {
  socket.end();
  socket.resume();
};

test('a response without a length is broken when its connection ends and is reset while its request is written', async () => {
  assert.is(await sendTo(answerEarly(closeDelimited, finishThenReset), upload), 'answer-broken');
});

test('a response without a length is complete when its connection ends while its request is written', async () => {
  // A target may refuse a request that it doesn't read.
  for (const end of [finish, finishThenRead]) {
    assert.is(await sendTo(answerEarly(closeDelimited, end), upload), 'body: half of the');
  }
});

test('a response without a length is complete when its target has read the whole request', async () => {
  const answerLate: testing.RawAnswer = (socket, firstBytes) => {
    let receivedBytes = firstBytes.length;
    socket.on('data', (bytes) => {
      receivedBytes += bytes.length;
      if (receivedBytes >= upload.length) socket.end(closeDelimited);
    });
  };
  assert.is(await sendTo(answerLate, upload), 'body: half of the');
});

test('a response with a length or in chunks is complete while its request is written', async () => {
  const whole = [
    'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nhalf',
    'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n',
  ];
  for (const bytes of whole) {
    assert.is(await sendTo(answerEarly(bytes, finish, 20), upload), 'body: half');
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
