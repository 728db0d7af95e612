import * as testing from '@comfreydrum/testing';
import * as undici from 'undici';

/** One lookup of a case and its outcome. */
export interface LookupResult {
  readonly caseId: string;
  readonly statusCode: number;
  readonly ran: string;
  readonly requestId: string;
  /** The case ID in the answer; empty if the lookup was refused. */
  readonly answeredCaseId: string;
}

export interface LookupsOptions {
  readonly daemons: () => readonly testing.FleetDaemon[];
  readonly callerCount: number;
  readonly random: testing.Random;
}

/** Callers that look up one case after another until stopped. */
export interface Lookups {
  readonly stop: () => Promise<readonly LookupResult[]>;
}

const pauseMs = 5;
const timeoutMs = 20_000;
const maxCaseNumber = 1e9;

const pause = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, pauseMs);
  });

/** Looks a case up once. */
export const lookUp = async (
  daemon: testing.FleetDaemon,
  caseId: string,
): Promise<LookupResult> => {
  try {
    const { statusCode, headers, body } = await undici.request(`${daemon.url}/cases/${caseId}`, {
      headers: { authorization: `Bearer ${testing.customerToken(testing.testNames.customer)}` },
      signal: AbortSignal.timeout(timeoutMs),
    });
    const answer = (await body.json()) as { readonly caseId?: string };
    return {
      caseId,
      statusCode,
      ran: String(headers['x-comfreydrum-ran'] ?? ''),
      requestId: String(headers['x-request-id'] ?? ''),
      answeredCaseId: answer.caseId ?? '',
    };
  } catch {
    return { caseId, statusCode: 0, ran: '', requestId: '', answeredCaseId: '' };
  }
};

/** Starts callers that look up a random case each time. */
export const createLookups = ({ daemons, callerCount, random }: LookupsOptions): Lookups => {
  const results: LookupResult[] = [];
  let isStopped = false;
  const run = async () => {
    while (!isStopped) {
      const caseId = `case-${random.integer(0, maxCaseNumber)}`;
      results.push(await lookUp(random.pick(daemons()), caseId));
      await pause();
    }
  };
  const callers = Array.from({ length: callerCount }, run);
  return {
    stop: async () => {
      isStopped = true;
      await Promise.all(callers);
      return results;
    },
  };
};
