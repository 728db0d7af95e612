import * as undici from 'undici';
import * as testing from '@comfreydrum/testing';

/** One submission of a filing under a key, and the outcome reported to the caller. */
export interface Attempt {
  readonly key: string;
  readonly requestId: string;
  readonly statusCode: number;
  readonly ran: string;
  readonly filingId: string | undefined;
}

const attemptTimeoutMs = 3_000;

const readFilingId = (text: string): string | undefined => {
  try {
    return (JSON.parse(text) as { readonly filingId?: string }).filingId;
  } catch {
    return undefined;
  }
};

/** Submits a filing once through one daemon. Status 0 means that no answer arrived. */
export const attemptFiling = async (url: string, key: string): Promise<Attempt> => {
  const unanswered: Attempt = { key, requestId: '', statusCode: 0, ran: '', filingId: undefined };
  try {
    const { statusCode, headers, body } = await undici.request(`${url}/filings`, {
      method: 'POST',
      signal: AbortSignal.timeout(attemptTimeoutMs),
      headers: {
        authorization: `Bearer ${testing.customerToken(testing.testNames.customer)}`,
        'content-type': 'application/json',
        'idempotency-key': key,
      },
      body: JSON.stringify({ kind: 'fee-waiver', key }),
    });
    const filingId = readFilingId(await body.text());
    const requestId = String(headers['x-request-id'] ?? '');
    const ran = String(headers['x-comfreydrum-ran'] ?? '');
    return { key, requestId, statusCode, ran, filingId };
  } catch {
    return unanswered;
  }
};

const groupBy = <Item>(items: readonly Item[], keyOf: (item: Item) => string) => {
  const groups = new Map<string, Item[]>();
  items.forEach((item) => {
    const key = keyOf(item);
    groups.set(key, [...(groups.get(key) ?? []), item]);
  });
  return groups;
};

/** Finds filings that ran twice, and reported outcomes that contradict the runs of the service. */
export const findViolations = (
  attempts: readonly Attempt[],
  runs: readonly testing.FilingRun[],
): readonly string[] => {
  const runsByKey = groupBy(runs, ({ key }) => key);
  const runsByRequest = groupBy(runs, ({ requestId }) => requestId);
  const repeated = [...runsByKey]
    .filter(([, list]) => list.length > 1)
    .map(([key, list]) => `${key} ran ${list.length} times: ${JSON.stringify(list)}`);
  const falseNotRun = attempts
    .filter(({ ran, requestId }) => ran === 'not-run' && runsByRequest.has(requestId))
    .map(({ key, requestId }) => `${key}: request ${requestId} was reported as not run and ran`);
  const wrongAnswers = attempts
    .filter(({ filingId, key }) => filingId && runsByKey.get(key)?.[0]?.filingId !== filingId)
    .map(({ key, filingId }) => `${key}: got the answer of filing ${filingId}`);
  const falseRan = attempts
    .filter(({ ran, key }) => ran === 'ran' && !runsByKey.has(key))
    .map(({ key }) => `${key} was reported as run and never ran`);
  return [...repeated, ...falseNotRun, ...wrongAnswers, ...falseRan];
};

/** Waits until every daemon accepts filings. */
export const waitUntilFilingsAccepted = (fleet: testing.Fleet) =>
  testing.waitUntil(
    async () => {
      const tries = fleet.daemons.map(({ directUrl, instanceId }) =>
        attemptFiling(directUrl, `warm-up-${instanceId}`),
      );
      return (await Promise.all(tries)).every(({ statusCode }) => statusCode === 201);
    },
    20_000,
    'every daemon to accept a filing',
  );
