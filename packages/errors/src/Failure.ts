/**
 * The common shape of expected errors.
 *
 * Each package declares its own union of failures, discriminated by `kind`. `step` names the operation
 * that failed, and `peer` the process or object that it addressed.
 */
export interface Failure<Kind extends string = string> {
  readonly kind: Kind;
  readonly step: string;
  readonly peer: string;
  readonly message: string;
}
