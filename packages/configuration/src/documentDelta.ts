import * as zlib from 'node:zlib';

/** The maximum size of a decoded text. */
const maxTextBytes = 1_048_576;

/** Compresses `text` with `basis` as the deflate dictionary; returns base64. */
export const encodeDelta = (text: string, basis: string): string =>
  zlib.deflateRawSync(text, { dictionary: Buffer.from(basis) }).toString('base64');

/** Decodes a delta; a damaged delta throws or decodes to a different text, so callers verify the digest. */
export const decodeDelta = (delta: string, basis: string): string =>
  zlib
    .inflateRawSync(Buffer.from(delta, 'base64'), {
      dictionary: Buffer.from(basis),
      maxOutputLength: maxTextBytes,
    })
    .toString('utf8');
