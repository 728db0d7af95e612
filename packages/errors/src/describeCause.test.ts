import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as errors from './index';

const test = uvu.suite('describeCause');

test('describes thrown values of any type', () => {
  assert.is(errors.describeCause(new Error('broken')), 'broken');
  assert.is(errors.describeCause({ code: 404 }), '{"code":404}');
  assert.is(errors.describeCause({ message: 'no such path', code: 404 }), 'no such path');
  assert.is(errors.describeCause('text'), 'text');
  const circular: Record<string, unknown> = {};
  circular.self = circular;
  assert.is(errors.describeCause(circular), '[object Object]');
});

test('appends the code of a system error', () => {
  const cause = Object.assign(new Error('connect failed'), { code: 'ECONNREFUSED' });
  assert.is(errors.describeCause(cause), 'connect failed (ECONNREFUSED)');
});

test.run();
