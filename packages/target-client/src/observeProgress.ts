import type * as undici from 'undici';

type Handler = undici.Dispatcher.DispatchHandler;

const firstFinalStatus = 200;

/**
 * Calls `onProgress` when a request starts, at the final response head and at each part of the body. Clients of an agent
 * get handlers of undici's older interface only, which delivers the header fields as received.
 */
export const observeProgress = (handler: Handler, onProgress: () => void): Handler => ({
  onConnect: (abort) => {
    onProgress();
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
  onComplete: (trailers) => handler.onComplete?.(trailers),
  onError: (cause) => handler.onError?.(cause),
});
