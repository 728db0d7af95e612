import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { parseModelRequest } from './parseModelRequest';

const test = uvu.suite('parse model request');

const messageOf = (body: Buffer | string): string => {
  const result = parseModelRequest(Buffer.from(body as string));
  return result.ok ? 'accepted' : result.error.message;
};

test('names the invalid field of a body', () => {
  assert.match(messageOf('{"model":'), 'the request body is not JSON');
  assert.match(messageOf(Buffer.from([0x22, 0xff, 0x22])), 'not valid UTF-8');
  assert.match(messageOf('{"messages":[{"role":"user"}]}'), '.model: ');
  assert.match(messageOf('{"model":"a"}'), '.messages or .prompt: required');
  assert.match(messageOf('{"model":"a","messages":[{"content":""}]}'), '.messages[0].role: ');
});

test('preserves unknown fields', () => {
  const body = { model: 'a', prompt: 'b', temperature: 0.2 };
  const result = parseModelRequest(Buffer.from(JSON.stringify(body)));
  assert.equal(result.ok && result.value, body);
});

test.run();
