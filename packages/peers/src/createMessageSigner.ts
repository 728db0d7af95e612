import { createHmac, createSecretKey, timingSafeEqual, type KeyObject } from 'node:crypto';

/** Signs and verifies datagrams and calls with tokens shared by the daemons of a fleet. */
export interface MessageSigner {
  /** Signs with the first token; without tokens the signature is empty. */
  readonly sign: (context: string, bytes: Buffer) => Buffer;
  /** Reports whether the signature is valid for any of the tokens; always true without tokens. */
  readonly accepts: (context: string, bytes: Buffer, signature: Buffer) => boolean;
  /** Size of every signature; 0 without tokens. */
  readonly signatureBytes: number;
}

/** The error message for a missing or invalid signature. */
export const unsignedMessage = 'no signature with a token of this fleet';

const usedBytes = 16;

const compute = (key: KeyObject, context: string, bytes: Buffer): Buffer =>
  createHmac('sha256', key).update(`${context}\n`).update(bytes).digest().subarray(0, usedBytes);

/**
 * Creates a signer. A signature is valid for one `context` only, which names the kind of message that
 * is signed.
 */
export const createMessageSigner = (tokens: readonly string[]): MessageSigner => {
  const keys = tokens.map((token) => createSecretKey(token, 'utf8'));
  const [signingKey] = keys;
  if (signingKey === undefined) {
    return { sign: () => Buffer.alloc(0), accepts: () => true, signatureBytes: 0 };
  }
  return {
    sign: (context, bytes) => compute(signingKey, context, bytes),
    accepts: (context, bytes, signature) =>
      signature.length === usedBytes &&
      keys.some((key) => timingSafeEqual(compute(key, context, bytes), signature)),
    signatureBytes: usedBytes,
  };
};
