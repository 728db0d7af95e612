import { createHash } from 'node:crypto';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { decodeDelta, encodeDelta } from './documentDelta';

const test = uvu.suite('document delta');

/** Creates a text that is hardly compressible without a dictionary. */
const createText = (lineCount: number, changed = '') =>
  Array.from({ length: lineCount }, (_, index) =>
    createHash('sha256').update(`${index}`).digest('hex'),
  ).join('\n') + changed;

test('restores the text from a short delta when little differs', () => {
  const basis = createText(80);
  const text = createText(80, 'é changed');
  const delta = encodeDelta(text, basis);
  assert.is(decodeDelta(delta, basis), text);
  assert.ok(delta.length < text.length / 20, `${delta.length} of ${text.length} characters`);
});

test('restores the text when the basis is longer than the compression window', () => {
  const basis = createText(1_000);
  const text = createText(1_001);
  assert.is(decodeDelta(encodeDelta(text, basis), basis), text);
});

test('does not restore the text from a different basis', () => {
  const delta = encodeDelta(createText(80, 'x'), createText(80));
  const decode = () => decodeDelta(delta, createText(80).toUpperCase());
  let decoded = '';
  try {
    decoded = decode();
  } catch {
    return;
  }
  assert.is.not(decoded, createText(80, 'x'));
});

test.run();
