import type { Result } from './Result';

/** Returns the value of a successful result; throws an error with the message of a failed one. */
export const unwrap = <Value>(result: Result<Value>): Value => {
  if (result.ok) return result.value;
  throw new Error(result.error.message);
};
