import type * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';
import { acquireTarget, crashTargetOf } from './acquireTarget';
import { attemptModelRequest, type AttemptResult } from './attemptModelRequest';
import { createSlotRequest } from './createSlotRequest';
import type { GatewayParts } from './GatewayParts';
import { isStillServing } from './isStillServing';
import { tryConsumeRetry } from './tryConsumeRetry';
import { parseModelRequest } from './parseModelRequest';
import { promptText } from './promptText';
import { createRefusal, type ExecutionStatus, type Refusal } from './Refusal';
import type { RequestContext } from './RequestContext';
import type { Candidate } from './SlotPool';

const maxAttempts = 4;
const defaultRetryAfterMs = 1_000;

const findModel = (
  team: configuration.Configuration,
  name: string,
): errors.Result<configuration.Model, Refusal> => {
  const model = team.models.find(
    (candidate) => candidate.name === name || candidate.adapters.includes(name),
  );
  if (model !== undefined) return errors.ok(model);
  return errors.err(
    createRefusal({
      step: 'find model',
      statusCode: 404,
      code: 'model_not_found',
      message: `model "${name}" does not exist for team "${team.team}"`,
    }),
  );
};

/** The combined result of the attempts so far. */
interface Progress {
  readonly deliveredTokens: number;
  readonly ran: ExecutionStatus;
  readonly reason: string;
  /** The model version that produced the delivered tokens; undefined while there are none. */
  readonly modelVersion: string | undefined;
}

const initialProgress: Progress = {
  deliveredTokens: 0,
  ran: 'not-run',
  reason: '',
  modelVersion: undefined,
};

/**
 * Reports whether a candidate may resume the stream. Another model version would produce a
 * different text, so the caller would receive parts of two texts as one.
 */
const canResumeOn = ({ modelVersion }: Progress, candidate: Candidate): boolean =>
  modelVersion === undefined || candidate.modelVersion === modelVersion;

/** Reports whether a group has loaded the requested model or adapter. */
const hasLoaded = (model: configuration.Model, name: string, { adapters }: Candidate): boolean =>
  name === model.name || adapters?.includes(name) === true;

const statusAfter = (progress: Progress, result: AttemptResult): ExecutionStatus =>
  progress.ran === 'not-run' && result.kind === 'failed' ? result.ran : 'unknown';

const refuseAfterAttempts = (
  model: configuration.Model,
  progress: Progress,
  retryAfterMs = defaultRetryAfterMs,
): Refusal =>
  createRefusal({
    step: 'dispatch',
    statusCode: 502,
    code: 'target_failed',
    message: `model "${model.name}" did not answer: ${progress.reason}`,
    ran: progress.ran,
    retryAfterMs,
  });

/** Serves a chat or completion request. Returns the refusal, or undefined if a response was sent. */
export const serveModelRequest = async (
  parts: GatewayParts,
  context: RequestContext,
  route: configuration.ModelRoute,
): Promise<Refusal | undefined> => {
  const parsed = parseModelRequest(context.body);
  if (!parsed.ok) return parsed.error;
  const found = findModel(context.caller.team, parsed.value.model);
  if (!found.ok) return found.error;

  const { dependencies } = parts;
  const pool = parts.pools.model(context.caller.team.team, found.value, {
    firstTokenMs: route.firstTokenTargetMs,
    betweenTokensMs: route.betweenTokensTargetMs,
  });
  const fingerprint = dependencies.hasher.fingerprint(
    context.caller.customer.name,
    context.caller.callerId,
    context.body,
  );
  const content = {
    prompt: promptText(parsed.value),
    maxOutputTokens: parsed.value.max_tokens,
  };
  const triedIds = new Set<string>();
  let progress = initialProgress;

  const mayUse = (candidate: Candidate): boolean =>
    hasLoaded(found.value, parsed.value.model, candidate) && canResumeOn(progress, candidate);

  for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
    const runId = `${context.requestId}/${attempt}`;
    const acquisition = await acquireTarget(parts, context, {
      pool,
      admission: { ...createSlotRequest(context, route, triedIds, content), mayUse },
      fingerprint,
      runId,
      isResumed: progress.deliveredTokens > 0,
    });
    if (acquisition.kind === 'refused') {
      return attempt === 1 || acquisition.refusal.step === 'quarantine'
        ? { ...acquisition.refusal, ran: progress.ran }
        : refuseAfterAttempts(found.value, progress, acquisition.refusal.retryAfterMs);
    }
    const { slot } = acquisition;
    const target = crashTargetOf(slot.candidate);
    parts.guard.onDispatch(runId, fingerprint, target);
    const result = await attemptModelRequest(parts, context, {
      slot,
      priority: route.priority,
      modelRequest: parsed.value,
      deliveredTokens: progress.deliveredTokens,
    });
    const wasReset = result.kind === 'failed' && result.wasReset;
    if (wasReset && !(await isStillServing(parts, slot.candidate))) {
      await parts.guard.onTargetLost(target);
    }
    const isCompleted = result.kind === 'answered' && !context.callerDisconnected.aborted;
    parts.guard.onEnd(runId, isCompleted ? 'completed' : 'stopped');
    slot.release();
    if (result.kind === 'answered' || context.callerDisconnected.aborted) return undefined;
    triedIds.add(slot.candidate.id);
    progress = {
      deliveredTokens: result.deliveredTokens,
      ran: statusAfter(progress, result),
      reason: result.reason,
      modelVersion: result.deliveredTokens > 0 ? slot.candidate.modelVersion : undefined,
    };
    dependencies.timeline.record('attempt failed', {
      requestId: context.requestId,
      groupId: slot.candidate.id,
      generation: slot.candidate.generation,
      text: result.reason,
    });
    if (dependencies.clock.monotonicMs() >= context.deadlineAtMs) break;
    const { id, generation } = slot.candidate;
    const wasLost = result.wasReset || !dependencies.groups.maySend(id, generation);
    if (!wasLost && !tryConsumeRetry(parts, context)) break;
    parts.metrics.resumes.add();
  }

  return refuseAfterAttempts(found.value, progress);
};
