import * as errors from '@comfreydrum/errors';
import * as zod from 'zod';
import * as targetClient from '@comfreydrum/target-client';

const eventSchema = zod.object({
  kind: zod.enum(['stored', 'evicted']),
  prefixHash: zod.string().min(1).max(64),
});

const answerSchema = zod.object({
  next: zod.number().int().nonnegative(),
  events: zod.array(eventSchema).readonly(),
});

/** What an engine said of its cache. */
export type CacheEvents = Readonly<zod.infer<typeof answerSchema>>;

/** Why an answer about a cache was of no use. */
export type BadCacheEvents = errors.Failure<'bad-cache-events'>;

/** Reads the answer of an engine about its cache, up to `maxBytes`. */
export const readCacheEvents = async (
  answer: targetClient.TargetResponse,
  peer: string,
  maxBytes: number,
): Promise<errors.Result<CacheEvents, BadCacheEvents>> => {
  const fail = (message: string): errors.Result<never, BadCacheEvents> =>
    errors.err({ kind: 'bad-cache-events', step: 'read cache events', peer, message });
  if (answer.statusCode !== 200) {
    answer.body.discard();
    return fail(`the status was ${answer.statusCode}`);
  }
  const read = await targetClient.readWholeBody(answer.body, peer, maxBytes);
  if (!read.ok) return fail(read.error.message);
  try {
    const checked = answerSchema.safeParse(JSON.parse(read.value.toString()));
    if (checked.success) return errors.ok(checked.data);
    return fail(errors.describeIssues(checked.error.issues).join('; '));
  } catch (cause) {
    return fail(errors.describeCause(cause));
  }
};
