import type * as http from 'node:http';
import { sendJson } from '../http/sendJson';
import type { CompletionRequest } from './CompletionRequest';
import { createEventWriter, foreignToken } from './createEventWriter';
import type { EventFaults } from './EventFaults';
import { generateToken } from './generateText';

/** Token counts of one request, in the format of the OpenAI API. */
export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
  readonly prompt_tokens_details: { readonly cached_tokens: number };
}

/** Writes the tokens of one request as server-sent events, or as one JSON body at the end. */
export interface ResponseWriter {
  readonly writeToken: (index: number) => void;
  readonly finish: (usage: Usage) => void;
  /** Destroys the connection before the response is complete. */
  readonly abort: () => void;
}

const toChoice = (
  object: CompletionRequest['object'],
  text: string,
  finishReason: string | null,
) => {
  const content = object === 'chat.completion' ? { delta: { content: text } } : { text };
  return { index: 0, ...content, finish_reason: finishReason };
};

const createStreamWriter = (
  response: http.ServerResponse,
  request: CompletionRequest,
  requestId: string,
  promptDigest: string,
  faults: EventFaults,
): ResponseWriter => {
  const object = request.object === 'chat.completion' ? 'chat.completion.chunk' : request.object;
  const created = Math.floor(Date.now() / 1_000);
  const commonFields = { id: requestId, object, created, model: request.model };
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' });
  const writer = createEventWriter(response, faults);
  const tokenEvent = (index: number, text: string) => ({
    ...commonFields,
    choices: [toChoice(request.object, text, null)],
    token_index: index,
  });

  return {
    writeToken: (index) =>
      writer.writeToken(tokenEvent(index, generateToken(promptDigest, index)), {
        ...tokenEvent(index, foreignToken(index)),
        id: `${requestId.slice(0, -1)}~`,
      }),
    finish: (usage) => {
      const choices = [toChoice(request.object, '', 'length')];
      writer.write({ ...commonFields, choices, token_index: request.maxTokens, usage });
      writer.end();
    },
    abort: () => response.destroy(),
  };
};

const createBodyWriter = (
  response: http.ServerResponse,
  request: CompletionRequest,
  requestId: string,
  promptDigest: string,
): ResponseWriter => {
  let text = '';
  return {
    writeToken: (index) => {
      text += generateToken(promptDigest, index);
    },
    finish: (usage) => {
      const content =
        request.object === 'chat.completion'
          ? { message: { role: 'assistant', content: text } }
          : { text };
      sendJson(response, 200, {
        id: requestId,
        object: request.object,
        created: Math.floor(Date.now() / 1_000),
        model: request.model,
        choices: [{ index: 0, ...content, finish_reason: 'length' }],
        usage,
      });
    },
    abort: () => response.destroy(),
  };
};

/** Creates the writer of a response: events for a streamed request, else one JSON body. */
export const createResponseWriter = (
  response: http.ServerResponse,
  request: CompletionRequest,
  requestId: string,
  promptDigest: string,
  faults: EventFaults,
): ResponseWriter =>
  request.isStream
    ? createStreamWriter(response, request, requestId, promptDigest, faults)
    : createBodyWriter(response, request, requestId, promptDigest);
