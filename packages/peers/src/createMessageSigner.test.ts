import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createMessageSigner } from './createMessageSigner';

const first = 'first token of the fleet, long enough';
const second = 'second token of the fleet, long enough';
const bytes = Buffer.from('suspect entry-3');

const test = uvu.suite('message signer');

test('accepts signatures made with any of its tokens', () => {
  const signer = createMessageSigner([first, second]);
  [first, second].forEach((token) => {
    const signature = createMessageSigner([token]).sign('datagram', bytes);
    assert.ok(signer.verify('datagram', bytes, signature));
  });
});

test('signs with the first of its tokens', () => {
  const signature = createMessageSigner([first, second]).sign('datagram', bytes);
  assert.ok(createMessageSigner([first]).verify('datagram', bytes, signature));
  assert.not.ok(createMessageSigner([second]).verify('datagram', bytes, signature));
});

test('rejects altered bytes, another context, and truncated or missing signatures', () => {
  const signer = createMessageSigner([first]);
  const signature = signer.sign('datagram', bytes);
  const altered = Buffer.from(bytes);
  altered[0]! += 1;
  assert.not.ok(signer.verify('datagram', altered, signature));
  assert.not.ok(signer.verify('call', bytes, signature));
  assert.not.ok(signer.verify('datagram', bytes, signature.subarray(1)));
  assert.not.ok(signer.verify('datagram', bytes, Buffer.alloc(0)));
});

test('without a token, signs nothing and accepts everything', () => {
  const signer = createMessageSigner([]);
  assert.is(signer.sign('datagram', bytes).length, 0);
  assert.ok(signer.verify('datagram', bytes, Buffer.alloc(0)));
});

test.run();
