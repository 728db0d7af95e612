import * as errors from '@comfreydrum/errors';
import * as zod from 'zod';
import * as targetClient from '@comfreydrum/target-client';

const eventSchema = zod.object({
  kind: zod.enum(['stored', 'evicted']),
  prefixHash: zod.string().min(1).max(64),
});

const responseSchema = zod.object({
  next: zod.number().int().nonnegative(),
  events: zod.array(eventSchema).readonly(),
});

/** The cache events that a target reports. */
export type CacheEvents = Readonly<zod.infer<typeof responseSchema>>;

/** The failure to read a response with cache events. */
export type InvalidCacheEvents = errors.Failure<'bad-cache-events'>;

/** Reads the cache events in a response of a target; fails if it is larger than `maxBytes`. */
export const readCacheEvents = async (
  response: targetClient.TargetResponse,
  peer: string,
  maxBytes: number,
): Promise<errors.Result<CacheEvents, InvalidCacheEvents>> => {
  const fail = (message: string): errors.Result<never, InvalidCacheEvents> =>
    errors.err({ kind: 'bad-cache-events', step: 'read cache events', peer, message });
  if (response.statusCode !== 200) {
    response.body.discard();
    return fail(`expected status 200, got ${response.statusCode}`);
  }
  const read = await targetClient.readWholeBody(response.body, peer, maxBytes);
  if (!read.ok) return fail(read.error.message);
  try {
    const checked = responseSchema.safeParse(JSON.parse(read.value.toString()));
    if (checked.success) return errors.ok(checked.data);
    return fail(errors.describeIssues(checked.error.issues).join('; '));
  } catch (cause) {
    return fail(errors.describeCause(cause));
  }
};
