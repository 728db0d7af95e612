import type * as errors from '@comfreydrum/errors';
import type { Era } from './Era';

/**
 * Why a platform call failed.
 *
 * - `conflict`: the condition on the version did not hold; nothing was written.
 * - `not-found`: no object has the key.
 * - `refused`: the platform or the local call budget rejected the call; nothing was written.
 * - `unreachable`: the platform is down; nothing was written.
 * - `ambiguous`: the response was lost or inconclusive; a write may have taken effect or may still do so.
 * - `too-large`: the value exceeds the platform's size limit; nothing was written.
 * - `expired`: a watch started at a version older than the history of the platform; list again.
 */
export interface PlatformFailure extends errors.Failure<
  'conflict' | 'not-found' | 'refused' | 'unreachable' | 'ambiguous' | 'too-large' | 'expired'
> {
  /** The era of the platform, if it answered. */
  readonly era?: Era;
}
