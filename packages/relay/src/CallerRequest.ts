import type * as http from 'node:http';

/** A caller's request, as its head tells; the body is read apart. */
export interface CallerRequest {
  /** Names this attempt of the caller; its answer carries the same id. */
  readonly requestId: string | undefined;
  readonly method: string;
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly url: string;
  readonly path: string;
  /** The headers to pass on, as a flat list of names and values. */
  readonly headers: readonly string[];
  /** The key that names the caller's customer. */
  readonly key: string | undefined;
  /** For how long the caller waits. */
  readonly timeLimitMs: number | undefined;
  readonly modelName: string | undefined;
  /** The last event that the caller has, when it resumes a stream. */
  readonly lastEventId: number | undefined;
}

/** Reads what callers send, and writes what only their wire knows. */
export interface CallerWire {
  readonly readRequest: (message: http.IncomingMessage) => CallerRequest;
  /** Gives the headers by which a caller knows an answer of our own for its request. */
  readonly answerHeaders: (request: CallerRequest) => Readonly<Record<string, string>>;
}
