import { createHmac, createSecretKey, timingSafeEqual, type KeyObject } from 'node:crypto';

/** Signs and verifies datagrams and calls with tokens shared by the daemons of a fleet. */
export interface MessageSigner {
  /** Signs with the first token; without tokens the signature is empty. */
  readonly sign: (context: string, bytes: Buffer) => Buffer;
  /** Reports whether the signature is valid for any of the tokens; always true without tokens. */
  readonly verify: (context: string, bytes: Buffer, signature: Buffer) => boolean;
  /** Size of every signature; 0 without tokens. */
  readonly signatureBytes: number;
}

/** The error message for a missing or invalid signature. */
export const invalidSignatureMessage = 'no signature with a token of this fleet';

const truncatedMacBytes = 16;

const compute = (key: KeyObject, context: string, bytes: Buffer): Buffer =>
  createHmac('sha256', key)
    .update(`${context}\n`)
    .update(bytes)
    .digest()
    .subarray(0, truncatedMacBytes);

/**
 * Creates a signer. A signature is valid for one `context` only, which names the kind of message that
 * is signed.
 */
export const createMessageSigner = (tokens: readonly string[]): MessageSigner => {
  const keys = tokens.map((token) => createSecretKey(token, 'utf8'));
  const [signingKey] = keys;
  if (signingKey === undefined) {
    return { sign: () => Buffer.alloc(0), verify: () => true, signatureBytes: 0 };
  }
  return {
    sign: (context, bytes) => compute(signingKey, context, bytes),
    verify: (context, bytes, signature) =>
      signature.length === truncatedMacBytes &&
      keys.some((key) => timingSafeEqual(compute(key, context, bytes), signature)),
    signatureBytes: truncatedMacBytes,
  };
};
