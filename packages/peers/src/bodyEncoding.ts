import { promisify } from 'node:util';
import * as zlib from 'node:zlib';

/** An encoded body with its content-encoding header. */
export interface EncodedBody {
  readonly bytes: Buffer;
  readonly headers: Readonly<Record<string, string>>;
}

/** Limit of a body as received, and after decompression. */
export const maxBodyBytes = 4 * 1_048_576;
const minCompressedBytes = 512;
const gzip = promisify<Buffer, zlib.ZlibOptions, Buffer>(zlib.gzip);
/** The lease holder compresses an answer for each check-in, which costs it more than the bytes that better compression saves. */
const gzipOptions: zlib.ZlibOptions = { level: zlib.constants.Z_BEST_SPEED };
const gunzip = promisify<Buffer, zlib.ZlibOptions, Buffer>(zlib.gunzip);

/** Compresses a body of at least 512 bytes if the receiver accepts gzip. */
export const encodeBody = async (text: string, accepted: unknown): Promise<EncodedBody> => {
  const plain = Buffer.from(text);
  if (accepted !== 'gzip' || plain.length < minCompressedBytes)
    return { bytes: plain, headers: {} };
  return { bytes: await gzip(plain, gzipOptions), headers: { 'content-encoding': 'gzip' } };
};

/** Decodes a body; throws if a compressed body is corrupt or decompresses to more than the limit. */
export const decodeBody = async (bytes: Buffer, encoding: unknown): Promise<string> => {
  if (encoding !== 'gzip') return bytes.toString('utf8');
  const plain = await gunzip(bytes, { maxOutputLength: maxBodyBytes });
  return plain.toString('utf8');
};
