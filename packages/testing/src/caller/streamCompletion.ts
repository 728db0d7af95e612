import * as eventsource from 'eventsource-parser';
import * as undici from 'undici';
import { formatChatPrompt } from '../engine/generateText';

/** The route of a completion request, and whether the response is streamed. */
export interface CompletionShape {
  readonly route: 'completions' | 'chat/completions';
  readonly isStream: boolean;
}

/** A completion request as a caller sends it. */
export interface CompletionCall {
  readonly url: string;
  readonly token: string;
  readonly prompt: string;
  readonly model: string;
  readonly maxTokens: number;
  /** Defaults to a streamed request of the completions route. */
  readonly shape?: CompletionShape;
  readonly requestId?: string;
  readonly dispatcher?: undici.Dispatcher;
  readonly signal?: AbortSignal;
  /** Called with the index of each token; reading resumes once the returned promise has settled. */
  readonly onToken?: (index: number) => void | Promise<void>;
}

/**
 * The outcome of a completion request.
 *
 * - `complete`: the stream ended with its end-of-stream event, or the whole body arrived.
 * - `error-event`: the stream ended with an error event.
 * - `refused`: the response had a status other than 200.
 * - `cut`: the response ended or its connection closed without an end-of-stream or error event.
 * - `no-answer`: no response header arrived.
 */
export interface CompletionOutcome {
  readonly end: 'complete' | 'error-event' | 'refused' | 'cut' | 'no-answer';
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly ran: string;
  readonly refusedBy: string;
  readonly requestId: string;
  readonly text: string;
  readonly tokenCount: number;
  readonly tokenIndexes: readonly number[];
  readonly error: string;
  readonly firstTokenMs: number | undefined;
  readonly durationMs: number;
}

interface CompletionEvent {
  readonly choices?: readonly {
    readonly text?: string;
    readonly delta?: { readonly content?: string };
    readonly message?: { readonly content?: string };
    readonly finish_reason?: string | null;
  }[];
  readonly token_index?: number;
  readonly error?: unknown;
}

const emptyOutcome: CompletionOutcome = {
  end: 'no-answer',
  statusCode: 0,
  headers: {},
  ran: '',
  refusedBy: '',
  requestId: '',
  text: '',
  tokenCount: 0,
  tokenIndexes: [],
  error: '',
  firstTokenMs: undefined,
  durationMs: 0,
};

const endOfStream = '[DONE]';

const streamedCompletion: CompletionShape = { route: 'completions', isStream: true };

const messagesOf = (prompt: string) => [{ role: 'user', content: prompt }];

/** Returns the prompt that the model reads for a request of the given route. */
export const formatModelPrompt = (prompt: string, { route }: CompletionShape): string =>
  route === 'completions' ? prompt : formatChatPrompt(messagesOf(prompt));

const textOf = ({ choices }: CompletionEvent): string => {
  const choice = choices?.[0];
  return choice?.text ?? choice?.delta?.content ?? choice?.message?.content ?? '';
};

const requestOf = (call: CompletionCall, { route, isStream }: CompletionShape) => ({
  method: 'POST' as const,
  headers: {
    'content-type': 'application/json',
    authorization: `Bearer ${call.token}`,
    ...(call.requestId === undefined ? {} : { 'x-request-id': call.requestId }),
  },
  body: JSON.stringify({
    model: call.model,
    ...(route === 'completions' ? { prompt: call.prompt } : { messages: messagesOf(call.prompt) }),
    max_tokens: call.maxTokens,
    stream: isStream,
  }),
  ...(call.dispatcher ? { dispatcher: call.dispatcher } : {}),
  ...(call.signal ? { signal: call.signal } : {}),
});

const readHead = (response: undici.Dispatcher.ResponseData): Partial<CompletionOutcome> => ({
  statusCode: response.statusCode,
  headers: response.headers,
  ran: String(response.headers['x-comfreydrum-ran'] ?? ''),
  refusedBy: String(response.headers['x-comfreydrum-refused-by'] ?? ''),
  requestId: String(response.headers['x-request-id'] ?? ''),
});

/** Sends a completion request and collects the response; an unstreamed one has no token indexes. */
export const streamCompletion = async (call: CompletionCall): Promise<CompletionOutcome> => {
  const startMs = performance.now();
  const { shape = streamedCompletion } = call;
  const progress = {
    end: 'cut' as CompletionOutcome['end'],
    text: '',
    tokenIndexes: [] as number[],
    error: '',
    firstTokenMs: undefined as number | undefined,
  };
  let head: Partial<CompletionOutcome> = {};
  const finish = (): CompletionOutcome => ({
    ...emptyOutcome,
    ...head,
    ...progress,
    tokenCount: progress.tokenIndexes.length,
    durationMs: performance.now() - startMs,
  });

  const acceptEvent = (data: string) => {
    if (data === endOfStream) {
      progress.end = 'complete';
      return;
    }
    const event = JSON.parse(data) as CompletionEvent;
    if (event.error !== undefined) {
      progress.end = 'error-event';
      progress.error = JSON.stringify(event.error);
      return;
    }
    const text = textOf(event);
    if (text === '') return;
    progress.firstTokenMs ??= performance.now() - startMs;
    progress.text += text;
    progress.tokenIndexes.push(event.token_index ?? -1);
  };

  try {
    const response = await undici.request(`${call.url}/v1/${shape.route}`, requestOf(call, shape));
    head = readHead(response);
    if (response.statusCode !== 200) {
      progress.error = await response.body.text();
      progress.end = 'refused';
      return finish();
    }
    if (!shape.isStream) {
      progress.text = textOf((await response.body.json()) as CompletionEvent);
      progress.end = 'complete';
      return finish();
    }
    const parser = eventsource.createParser({ onEvent: ({ data }) => acceptEvent(data) });
    const decoder = new TextDecoder();
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      const previousCount = progress.tokenIndexes.length;
      parser.feed(decoder.decode(chunk, { stream: true }));
      for (const index of progress.tokenIndexes.slice(previousCount)) await call.onToken?.(index);
    }
  } catch (cause) {
    if (head.statusCode === undefined) progress.end = 'no-answer';
    progress.error = String(cause);
  }
  return finish();
};
