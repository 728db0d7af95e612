import { setTimeout as delay } from 'node:timers/promises';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as targetClient from './index';

const test = uvu.suite('malformed response heads');

const body = 'whole';
const maxBodyBytes = 1_024;
const framings = [
  { fields: ['content-length: 5'], bytes: body },
  { fields: ['transfer-encoding: chunked'], bytes: `5\r\n${body}\r\n0\r\n\r\n` },
  { fields: [], bytes: body },
];

/** Sends a request on a connection that has carried another one; returns the response, or undefined if there is none. */
const requestAfterSoundOne = async (
  method: 'GET' | 'HEAD' | 'POST',
  response: string,
): Promise<string | undefined> => {
  const client = targetClient.createTargetClient(undefined);
  let result: string | undefined;
  const send = async (url: string, path: string) => {
    const sent = await client.send({
      url,
      path,
      method: path === '/sound' ? 'GET' : method,
      headers: [],
      body: null,
      signal: AbortSignal.timeout(2_000),
    });
    if (!sent.ok) return undefined;
    const read = await targetClient.readWholeBody(sent.value.body, url, maxBodyBytes);
    return read.ok ? `${sent.value.statusCode} ${read.value.toString()}` : undefined;
  };
  let connectionCount = 0;
  const answer: testing.RawAnswer = (socket) => {
    connectionCount += 1;
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsound');
    socket.once('data', () => socket.end(response, 'latin1'));
  };
  await testing.withRawServer(answer, async (url) => {
    assert.is(await send(url, '/sound'), '200 sound');
    // The client offers a connection for reuse once the event loop has gone round.
    await delay(5);
    result = await send(url, '/malformed');
  });
  assert.is(connectionCount, 1);
  await client.close();
  return result;
};

/** Returns the heads among `heads` whose response is taken for one. */
const listAccepted = async (heads: readonly (readonly string[])[]) => {
  const accepted: string[] = [];
  const waiting = heads.flatMap((head) =>
    framings.flatMap(({ fields, bytes }) =>
      (['GET', 'HEAD', 'POST'] as const).map((method) => ({
        method,
        response: `${[...head, ...fields].join('\r\n')}\r\n\r\n${method === 'HEAD' ? '' : bytes}`,
      })),
    ),
  );
  await Promise.all(
    waiting.map(async ({ method, response }) => {
      const result = await requestAfterSoundOne(method, response);
      if (result !== undefined) accepted.push(`${method} ${JSON.stringify(response)}: ${result}`);
    }),
  );
  return accepted;
};

test('are no responses when the status is none', async () => {
  assert.equal(await listAccepted(testing.malformedStatusLines.map((line) => [line])), []);
});

test('are no responses when a field name is no token', async () => {
  const heads = testing.malformedFields.flatMap((field) => [
    ['HTTP/1.1 200 OK', field],
    ['HTTP/1.1 200 OK', 'x-sound: 1', field],
  ]);
  assert.equal(await listAccepted(heads), []);
});

test('are no responses when an informational head before them is malformed', async () => {
  const heads = testing.malformedFields.map((field) => [
    'HTTP/1.1 103 Early Hints',
    field,
    '',
    'HTTP/1.1 200 OK',
  ]);
  assert.equal(await listAccepted(heads), []);
});

test('are no responses when a field of a trailer is malformed', async () => {
  const chunked = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n';
  const accepted = await Promise.all(
    testing.malformedFields.map(async (field) => {
      const result = await requestAfterSoundOne('GET', `${chunked}${field}\r\n\r\n`);
      return result === undefined ? [] : [`${JSON.stringify(field)}: ${result}`];
    }),
  );
  assert.equal(accepted.flat(), []);
});

test.run();
