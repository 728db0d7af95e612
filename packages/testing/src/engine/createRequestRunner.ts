import { randomUUID } from 'node:crypto';
import type { StandinCall } from '../http/createHttpStandin';
import { createResponseWriter } from './createResponseWriter';
import type { ResponseWriter } from './createResponseWriter';
import type { Batch, Sequence } from './createBatch';
import type { GroupMember } from './createGroupMember';
import type { PrefixCache } from './createPrefixCache';
import type { CompletionRequest } from './CompletionRequest';
import type { EventFaults } from './EventFaults';
import { countPromptTokens, digestPrompt } from './generateText';
import type { ServedRequest } from './ServedRequest';

interface ActiveRequest {
  readonly prompt: string;
  readonly sequence: Sequence;
  readonly writer: ResponseWriter;
  readonly markCancelled: () => void;
}

/** Runs the requests of an engine and keeps a record of them. */
export interface RequestRunner {
  readonly run: (call: StandinCall, request: CompletionRequest) => void;
  /** Cancels a request; returns false when no such request is waiting or running. */
  readonly cancel: (requestId: string) => boolean;
  readonly cancelAll: () => void;
  /** Returns the number of requests that are waiting or running. */
  readonly activeCount: () => number;
  readonly findPrompt: (requestId: string) => string | undefined;
  readonly served: () => readonly ServedRequest[];
}

/** Options of a request runner. */
export interface RequestRunnerOptions {
  readonly batch: Batch;
  readonly cache: PrefixCache;
  readonly member: GroupMember;
  readonly faults: EventFaults;
  /** Called with each request when it starts to run. */
  readonly onServed: (served: ServedRequest) => void;
  readonly crashOn: string | undefined;
  readonly onCrash: () => void;
}

const maxServedRequests = 1_000_000;

/** Creates a runner without requests. */
export const createRequestRunner = (options: RequestRunnerOptions): RequestRunner => {
  const { batch, cache, member } = options;
  const active = new Map<string, ActiveRequest>();
  const served: ServedRequest[] = [];

  const cancel = (requestId: string): boolean => {
    const found = active.get(requestId);
    if (!found) return false;
    active.delete(requestId);
    batch.remove(found.sequence);
    found.markCancelled();
    found.writer.abort();
    return true;
  };

  const run = (call: StandinCall, request: CompletionRequest) => {
    const { headers } = call.request;
    const requestId = String(headers['x-request-id'] ?? randomUUID());
    const key = active.has(requestId) ? `${requestId}#${randomUUID()}` : requestId;
    const promptDigest = digestPrompt(request.prompt);
    const promptTokens = countPromptTokens(request.prompt);
    const writer = createResponseWriter(
      call.response,
      request,
      requestId,
      promptDigest,
      options.faults,
    );
    const receivedAtMs = Date.now();
    const { groupId, generation, version } = member.presence();
    let servedIndex = -1;
    let cachedTokens = 0;

    const update = (changes: Partial<ServedRequest>) => {
      const before = served[servedIndex];
      if (before) served[servedIndex] = { ...before, ...changes };
    };

    const start = () => {
      cachedTokens = cache.lookUpAndStore(request.prompt);
      servedIndex = served.length;
      const started: ServedRequest = {
        requestId,
        groupId,
        generation,
        modelVersion: version,
        askedGroupId: String(headers['x-group-id'] ?? ''),
        askedGeneration: String(headers['x-generation'] ?? ''),
        receivedAtMs,
        startedAtMs: Date.now(),
        promptDigest,
        promptTokens,
        cachedTokens,
        resumedFromToken: request.resumeFromToken,
        producedTokens: 0,
        outcome: 'running',
      };
      served.push(started);
      options.onServed(started);
      if (options.crashOn && request.prompt.includes(options.crashOn)) options.onCrash();
      return Math.min(cachedTokens, promptTokens);
    };

    const finish = () => {
      active.delete(key);
      update({ outcome: 'finished', producedTokens: request.maxTokens - request.resumeFromToken });
      writer.finish({
        prompt_tokens: promptTokens,
        completion_tokens: request.maxTokens,
        total_tokens: promptTokens + request.maxTokens,
        prompt_tokens_details: { cached_tokens: cachedTokens },
      });
    };

    let producedCount = 0;
    const sequence: Sequence = {
      promptTokens,
      priority: request.priority,
      firstTokenIndex: request.resumeFromToken,
      maxTokens: request.maxTokens,
      onStart: start,
      onToken: (index) => {
        producedCount += 1;
        writer.writeToken(index);
      },
      onFinish: finish,
    };
    if (served.length >= maxServedRequests) throw new Error('too many requests were served');
    active.set(key, {
      prompt: request.prompt,
      sequence,
      writer,
      markCancelled: () => update({ outcome: 'cancelled', producedTokens: producedCount }),
    });
    call.response.once('close', () => cancel(key));
    batch.submit(sequence);
  };

  return {
    run,
    cancel,
    cancelAll: () => [...active.keys()].forEach(cancel),
    activeCount: () => active.size,
    findPrompt: (requestId) => active.get(requestId)?.prompt,
    served: () => served,
  };
};
