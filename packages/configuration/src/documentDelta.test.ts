import { createHash } from 'node:crypto';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { decodeDelta, encodeDelta } from './documentDelta';

const test = uvu.suite('document delta');

/** Creates a text that is hardly compressible without a dictionary. */
const textOf = (lineCount: number, changed = '') =>
  Array.from({ length: lineCount }, (_, index) =>
    createHash('sha256').update(`${index}`).digest('hex'),
  ).join('\n') + changed;

test('restores the text from a short delta when little differs', () => {
  const basis = textOf(80);
  const text = textOf(80, 'é changed');
  const delta = encodeDelta(text, basis);
  assert.is(decodeDelta(delta, basis), text);
  assert.ok(delta.length < text.length / 20, `${delta.length} of ${text.length} characters`);
});

test('restores the text when the basis is longer than the compression window', () => {
  const basis = textOf(1_000);
  const text = textOf(1_001);
  assert.is(decodeDelta(encodeDelta(text, basis), basis), text);
});

test('does not restore the text from a different basis', () => {
  const delta = encodeDelta(textOf(80, 'x'), textOf(80));
  const decode = () => decodeDelta(delta, textOf(80).toUpperCase());
  let decoded = '';
  try {
    decoded = decode();
  } catch {
    return;
  }
  assert.is.not(decoded, textOf(80, 'x'));
});

test.run();
