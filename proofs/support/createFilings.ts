import * as testing from '@comfreydrum/testing';
import * as undici from 'undici';

/** One filing and the outcome reported to its caller. */
export interface FilingResult {
  readonly key: string;
  readonly daemonId: string;
  /** Empty when no answer came. */
  readonly requestId: string;
  readonly startedAtMs: number;
  /** 0 when no answer came. */
  readonly statusCode: number;
  readonly ran: string;
  readonly refusedBy: string;
  readonly retryAfter: string;
  readonly text: string;
}

/** The daemon and the content of a filing request. */
export interface FilingRequest {
  readonly daemon: testing.FleetDaemon;
  readonly key: string;
  readonly body?: string;
  readonly token?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
}

const defaultTimeoutMs = 30_000;

/** Submits a filing once, without retries, and returns the outcome reported to the caller. */
export const submitFiling = async (call: FilingRequest): Promise<FilingResult> => {
  const startedAtMs = Date.now();
  const base = { key: call.key, daemonId: call.daemon.instanceId, startedAtMs };
  const token = call.token ?? testing.customerToken(testing.testNames.customer);
  try {
    const { statusCode, headers, body } = await undici.request(`${call.daemon.url}/filings`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${token}`,
        'idempotency-key': call.key,
        ...call.headers,
      },
      body: call.body ?? JSON.stringify({ filing: call.key }),
      signal: AbortSignal.timeout(call.timeoutMs ?? defaultTimeoutMs),
    });
    return {
      ...base,
      requestId: String(headers['x-request-id'] ?? ''),
      statusCode,
      ran: String(headers['x-comfreydrum-ran'] ?? ''),
      refusedBy: String(headers['x-comfreydrum-refused-by'] ?? ''),
      retryAfter: String(headers['retry-after'] ?? ''),
      text: await body.text(),
    };
  } catch (cause) {
    const text = String(cause);
    return { ...base, requestId: '', statusCode: 0, ran: '', refusedBy: '', retryAfter: '', text };
  }
};

/** Callers that submit one filing after another, each with a unique key. */
export interface Filings {
  readonly results: () => readonly FilingResult[];
  readonly stop: () => Promise<readonly FilingResult[]>;
}

export interface FilingsOptions {
  readonly daemons: () => readonly testing.FleetDaemon[];
  readonly callerCount: number;
  readonly random: testing.Random;
}

const pauseMs = 20;

const pause = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, pauseMs);
  });

/** Starts callers that submit filings until stopped. */
export const createFilings = (options: FilingsOptions): Filings => {
  const results: FilingResult[] = [];
  let isStopped = false;
  let sequence = 0;
  const run = async () => {
    while (!isStopped) {
      sequence += 1;
      const key = `filing-${sequence}`;
      results.push(await submitFiling({ daemon: options.random.pick(options.daemons()), key }));
      await pause();
    }
  };
  const callers = Array.from({ length: options.callerCount }, run);
  return {
    results: () => results,
    stop: async () => {
      isStopped = true;
      await Promise.all(callers);
      return results;
    },
  };
};
