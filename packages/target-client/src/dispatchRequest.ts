import type * as undici from 'undici';
import type { BoundedDispatchOptions } from './createBoundedAgent';
import {
  createResponseBody,
  type ResponseBody,
  type WritableResponseBody,
} from './createResponseBody';

/** The head of a target's response, with its body as a stream. */
export interface TargetResponse {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly body: ResponseBody;
  /** Whether the connection had delivered bytes before the request was written to it. */
  readonly isConnectionReused: boolean;
}

/** Conditions under which a request is aborted or not sent. */
export interface DispatchConstraints {
  readonly signal: AbortSignal;
  /** Called in the tick in which the request is written; nothing is sent when it returns false. */
  readonly mayWrite: () => boolean;
}

const firstFinalStatus = 200;

const reasonOf = (signal: AbortSignal): Error =>
  signal.reason instanceof Error ? signal.reason : new Error(String(signal.reason));

/** Sends one request. Rejects when the signal aborts or the connection fails before the response head arrives. */
export const dispatchRequest = (
  dispatcher: undici.Dispatcher,
  options: undici.Dispatcher.DispatchOptions,
  { signal, mayWrite }: DispatchConstraints,
): Promise<TargetResponse> =>
  new Promise((resolve, reject) => {
    let controller: undici.Dispatcher.DispatchController | undefined;
    let body: WritableResponseBody | undefined;
    let isConnectionReused = false;
    const observedOptions: BoundedDispatchOptions = {
      ...options,
      onConnection: (isReused) => {
        isConnectionReused = isReused;
      },
    };

    const settle = (cause?: Error) => {
      body?.end(cause);
      if (cause !== undefined) reject(cause);
    };
    const abort = () => {
      const reason = reasonOf(signal);
      controller?.abort(reason);
      settle(reason);
    };
    const end = (cause?: Error) => {
      signal.removeEventListener('abort', abort);
      settle(cause);
    };

    if (signal.aborted) {
      reject(reasonOf(signal));
      return;
    }
    signal.addEventListener('abort', abort, { once: true });
    dispatcher.dispatch(observedOptions, {
      onRequestStart: (started) => {
        controller = started;
        if (signal.aborted) started.abort(reasonOf(signal));
        else if (!mayWrite()) started.abort(new Error('the right to send was given up'));
      },
      onResponseStart: (started, statusCode, headers) => {
        if (statusCode < firstFinalStatus) return;
        body = createResponseBody(started);
        resolve({ statusCode, headers, body, isConnectionReused });
      },
      onResponseData: (_controller, chunk) => body?.push(chunk),
      onResponseEnd: () => end(),
      onResponseError: (_controller, cause) => end(cause),
    });
  });
