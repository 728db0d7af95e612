/** Gives the text of a thrown value that is no error: its message, else all of it. */
const describeValue = (value: unknown): string => {
  if (typeof value !== 'object' || value === null) return String(value);
  if ('message' in value && typeof value.message === 'string') return value.message;
  try {
    return JSON.stringify(value);
  } catch {
    // A value that refers to itself; its type is all that can be told.
    return Object.prototype.toString.call(value);
  }
};

/** Gives the message of anything that was thrown, with the code of a system error. */
export const describeCause = (cause: unknown): string => {
  if (!(cause instanceof Error)) return describeValue(cause);
  const code = 'code' in cause ? String(cause.code) : '';
  return code && !cause.message.includes(code) ? `${cause.message} (${code})` : cause.message;
};
