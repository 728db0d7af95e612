import type * as errors from '@comfreydrum/errors';

/**
 * Why a platform call failed.
 *
 * - `conflict`: the condition on the version did not hold; nothing was written.
 * - `not-found`: no object has the key.
 * - `refused`: the platform or the local call budget turned the call away; nothing was written.
 * - `unreachable`: the platform is down; nothing was written.
 * - `ambiguous`: the answer was lost; a write may have taken effect or may still do so.
 * - `too-large`: the value is over the platform's limit; nothing was written.
 * - `expired`: a watch asked for changes older than the platform keeps; list anew.
 */
export type PlatformFailure = errors.Failure<
  'conflict' | 'not-found' | 'refused' | 'unreachable' | 'ambiguous' | 'too-large' | 'expired'
>;
