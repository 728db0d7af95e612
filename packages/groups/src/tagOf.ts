import { createHash } from 'node:crypto';

/** The length of a tag in characters. */
export const tagLength = 8;
const tagBytes = 6;
const maxCachedTags = 65_536;

const cachedTags = new Map<string, string>();

/**
 * Returns the tag that identifies a group or an instance in presence reports: 48 bits of its hash.
 */
export const tagOf = (text: string): string => {
  const known = cachedTags.get(text);
  if (known !== undefined) return known;
  const digest = createHash('sha256').update(text).digest();
  const tag = digest.subarray(0, tagBytes).toString('base64');
  if (cachedTags.size >= maxCachedTags) cachedTags.clear();
  cachedTags.set(text, tag);
  return tag;
};

/** Returns the tag of a group at one generation. */
export const groupTagOf = (groupId: string, generation: number): string =>
  tagOf(`${groupId}@${generation}`);
