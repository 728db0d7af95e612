import type { Failure } from './Failure';

/** The result of an operation that can fail in expected ways. */
export type Result<Value, Error extends Failure = Failure> =
  { readonly ok: true; readonly value: Value } | { readonly ok: false; readonly error: Error };

/** Wraps a value as a successful result. */
export const ok = <Value>(value: Value): { readonly ok: true; readonly value: Value } => ({
  ok: true,
  value,
});

/** Wraps a failure as an unsuccessful result. */
export const err = <Error extends Failure>(
  error: Error,
): { readonly ok: false; readonly error: Error } => ({ ok: false, error });
