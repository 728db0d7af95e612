import type * as undici from 'undici';

type Handler = undici.Dispatcher.DispatchHandler;

const firstFinalStatus = 200;

/** Observers of one request. */
export interface ProgressObservers {
  /** Called when the request is about to be written to a connection. */
  readonly onStart: () => void;
  readonly onProgress: () => void;
  /** Returns why a response that has just ended is not complete, if so. */
  readonly findFailure: () => Error | undefined;
}

/**
 * Calls `onStart` when a request starts, and `onProgress` at the final response head and at each part of the body. Clients of an agent
 * get handlers of undici's older interface only, which delivers the header fields as received.
 */
export const observeProgress = (
  handler: Handler,
  { onStart, onProgress, findFailure }: ProgressObservers,
): Handler => ({
  onConnect: (abort) => {
    onStart();
    handler.onConnect?.(abort);
  },
  onHeaders: (statusCode, headers, resume, statusText) => {
    if (statusCode >= firstFinalStatus) onProgress();
    return handler.onHeaders?.(statusCode, headers, resume, statusText) ?? true;
  },
  onData: (chunk) => {
    onProgress();
    return handler.onData?.(chunk) ?? true;
  },
  onResponseStarted: () => handler.onResponseStarted?.(),
  onUpgrade: (statusCode, headers, socket) => handler.onUpgrade?.(statusCode, headers, socket),
  onComplete: (trailers) => {
    const failure = findFailure();
    if (failure === undefined) handler.onComplete?.(trailers);
    else handler.onError?.(failure);
  },
  onError: (cause) => handler.onError?.(cause),
});
