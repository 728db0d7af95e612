import type * as undici from 'undici';

type Handler = undici.Dispatcher.DispatchHandler;

const firstFinalStatus = 200;
/** RFC 9110, section 15: status codes outside this range are invalid. */
const statusRange = { min: 100, max: 599 } as const;

const isValidStatus = (statusCode: number): boolean =>
  statusCode >= statusRange.min && statusCode <= statusRange.max;

/** Observers of one request. */
export interface ProgressObservers {
  /** Called when the request is about to be written to a connection. */
  readonly onStart: () => void;
  /** Called at the final response head. */
  readonly onHead: () => void;
  /** Called at the final response head and at each part of the body. */
  readonly onProgress: () => void;
  /** Called when the response has ended or the request has failed. */
  readonly onEnd: () => void;
  /** Returns why a response that has just ended is not complete, if so. */
  readonly findFailure: () => Error | undefined;
}

/**
 * Calls the observers of a request. Aborts a request whose response has an invalid status. Clients of an agent get handlers of undici's older interface only, which delivers the header
 * fields as received.
 */
export const observeProgress = (
  handler: Handler,
  { onStart, onHead, onProgress, onEnd, findFailure }: ProgressObservers,
): Handler => {
  let abortRequest: (cause?: Error) => void = () => {};
  return {
    onConnect: (abort) => {
      abortRequest = abort;
      onStart();
      handler.onConnect?.(abort);
    },
    onHeaders: (statusCode, headers, resume, statusText) => {
      if (!isValidStatus(statusCode)) {
        abortRequest(new Error(`the response has the invalid status ${statusCode}`));
        return false;
      }
      if (statusCode >= firstFinalStatus) {
        onHead();
        onProgress();
      }
      return handler.onHeaders?.(statusCode, headers, resume, statusText) ?? true;
    },
    onData: (chunk) => {
      onProgress();
      return handler.onData?.(chunk) ?? true;
    },
    onResponseStarted: () => handler.onResponseStarted?.(),
    onUpgrade: (statusCode, headers, socket) => handler.onUpgrade?.(statusCode, headers, socket),
    onComplete: (trailers) => {
      onEnd();
      const failure = findFailure();
      if (failure === undefined) handler.onComplete?.(trailers);
      else handler.onError?.(failure);
    },
    onError: (cause) => {
      onEnd();
      handler.onError?.(cause);
    },
  };
};
