import { createHash } from 'node:crypto';
import type { Target } from './Target';

/** Parts into which the entries of a list are divided by their ids, so that lists are compared in parts. */
const bucketCount = 128;

const digestBytes = 6;
const digestLimit = 2 ** (8 * digestBytes);

const hash = (text: string): number =>
  createHash('sha1').update(text).digest().readUIntBE(0, digestBytes);

const buckets = new WeakMap<Target, number>();

/** Returns the bucket of an entry. */
export const bucketOf = (target: Target): number => {
  const known = buckets.get(target);
  if (known !== undefined) return known;
  const bucket = hash(target.id) % bucketCount;
  buckets.set(target, bucket);
  return bucket;
};

interface EntryDigest {
  readonly version: number;
  readonly digest: number;
}

const digests = new WeakMap<Target, EntryDigest>();

const digestOf = (target: Target, version: number): number => {
  const known = digests.get(target);
  if (known?.version === version) return known.digest;
  const { membership } = target;
  // Daemons may have got the fields in different orders.
  const fields = [
    version,
    target.id,
    target.startedAtMs,
    target.serviceName,
    target.address,
    target.failureDomain,
    target.state,
    target.slots,
    target.fabricDomain,
    target.stagedModels,
    target.loadedModels,
    membership && [membership.groupName, membership.epoch, membership.rank, membership.state],
    target.coldRemainingMs,
  ];
  const digest = hash(JSON.stringify(fields));
  digests.set(target, { version, digest });
  return digest;
};

/** Returns a digest of each bucket; lists with the same entries in a bucket have the same digest of it. */
export const digestsOf = (
  entries: Iterable<{ readonly target: Target; readonly version: number }>,
): readonly number[] => {
  const sums = Array.from({ length: bucketCount }, () => 0);
  [...entries].forEach(({ target, version }) => {
    const bucket = bucketOf(target);
    sums[bucket] = (sums[bucket]! + digestOf(target, version)) % digestLimit;
  });
  return sums;
};
