const prefix = 'part:';

/** Returns the key of a part of prompts in updates and stored verdicts, where requests have their fingerprint. */
export const partKeyOf = (partId: string): string => `${prefix}${partId}`;

/** Returns the id of the part that a key stands for, or undefined if it is the fingerprint of a request. */
export const partIdOfKey = (key: string): string | undefined =>
  key.startsWith(prefix) ? key.slice(prefix.length) : undefined;
