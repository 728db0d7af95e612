/**
 * Describes a thrown value that is not an `Error`: its `message` if it has one, else its JSON or
 * string form.
 */
const describeValue = (value: unknown): string => {
  if (typeof value !== 'object' || value === null) return String(value);
  if ('message' in value && typeof value.message === 'string') return value.message;
  try {
    return JSON.stringify(value);
  } catch {
    // The value cannot be serialized, for example because it is circular.
    return Object.prototype.toString.call(value);
  }
};

/** Returns the message of any thrown value, followed by the code of a system error. */
export const describeCause = (cause: unknown): string => {
  if (!(cause instanceof Error)) return describeValue(cause);
  const code = 'code' in cause ? String(cause.code) : '';
  return code && !cause.message.includes(code) ? `${cause.message} (${code})` : cause.message;
};
