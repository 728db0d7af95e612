import { createHash } from 'node:crypto';
import createXxhash from 'xxhash-wasm';

/** Hashes prompt prefixes and request contents. */
export interface PrefixHasher {
  /**
   * Returns one hash per complete block of the prompt, each computed over the prompt up to the end
   * of its block, so that prompts with a common prefix have common hashes. Engines identify
   * prefixes in their cache events in the same way: by the first 16 hex digits of the SHA-256 of
   * their characters.
   */
  readonly hashPrefixes: (prompt: string) => readonly string[];
  /** Returns the fingerprint of a request, computed from its customer, caller and content. */
  readonly fingerprint: (customer: string, caller: string, content: string | Uint8Array) => string;
}

/** How prompts are split into blocks. */
export interface PrefixHasherOptions {
  readonly blockLength?: number;
  readonly maxBlocks?: number;
}

/** Two engine blocks, as engines report prefixes at every multiple of 256 characters. */
const defaultBlockLength = 512;
const defaultMaxBlocks = 64;
const hashDigits = 16;

/** Creates a hasher; resolves when the WebAssembly hash function is loaded. */
export const createPrefixHasher = async (
  options: PrefixHasherOptions = {},
): Promise<PrefixHasher> => {
  const { blockLength = defaultBlockLength, maxBlocks = defaultMaxBlocks } = options;
  const xxhash = await createXxhash();

  return {
    hashPrefixes: (prompt) => {
      const blockCount = Math.min(maxBlocks, Math.floor(prompt.length / blockLength));
      const hashes: string[] = [];
      const hash = createHash('sha256');
      for (let block = 0; block < blockCount; block += 1) {
        hash.update(prompt.slice(block * blockLength, (block + 1) * blockLength));
        hashes.push(hash.copy().digest('hex').slice(0, hashDigits));
      }
      return hashes;
    },
    fingerprint: (customer, caller, content) => {
      const callerHash = xxhash.h64(JSON.stringify([customer, caller]));
      const contentHash =
        typeof content === 'string'
          ? xxhash.h64(content, callerHash)
          : xxhash.h64Raw(content, callerHash);
      return contentHash.toString(16).padStart(16, '0');
    },
  };
};
