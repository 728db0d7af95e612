import { createHash } from 'node:crypto';
import type { ClaimRequest } from './Ledger';

const keyIdBytes = 16;
const fingerprintOffsetBytes = 0;
const partitionOffsetBytes = 4;

const digest = (parts: readonly string[]): string =>
  createHash('sha256')
    .update(JSON.stringify(parts))
    .digest()
    .subarray(0, keyIdBytes)
    .toString('base64url');

/** Creates an id of a request's key that is unique across teams, customers, callers and routes. */
export const createKeyId = (request: ClaimRequest): string =>
  digest([request.team, request.customer, request.caller, request.routeName, request.key]);

/** Hashes the digest of a request to the length that the ledger stores. */
export const shortenDigest = (requestDigest: string): string => digest([requestDigest]);

const readNumber = (keyId: string, offsetBytes: number): number =>
  Buffer.from(keyId, 'base64url').readUInt32BE(offsetBytes);

/** Returns 32 bits of a key id, used to look up keys in segments. */
export const fingerprintOf = (keyId: string): number => readNumber(keyId, fingerprintOffsetBytes);

/** Returns the partition of a key. */
export const partitionOf = (keyId: string, partitionCount: number): number =>
  readNumber(keyId, partitionOffsetBytes) % partitionCount;
