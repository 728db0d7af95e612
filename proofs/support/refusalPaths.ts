import * as testing from '@comfreydrum/testing';
import * as undici from 'undici';

/** A request that a daemon must refuse, with the expected status. */
export interface RefusalPath {
  readonly name: string;
  readonly path: string;
  readonly statusCode: number;
  readonly body: string | Buffer;
  readonly headers?: Readonly<Record<string, string>>;
}

/** A refusal as received by its caller. */
export interface ReceivedRefusal {
  readonly name: string;
  readonly statusCode: number;
  readonly ran: string;
  readonly refusedBy: string;
  readonly requestId: string;
  readonly text: string;
}

const { model, customer } = testing.testNames;
const oversizedBytes = 5_000_000;
const completion = (fields: object) => JSON.stringify({ model, prompt: 'refused', ...fields });
const invalidUtf8 = Buffer.concat([Buffer.from('{"model":"'), Buffer.from([0xff, 0xfe])]);

/** Requests that are refused without any injected fault. Each must be reported as not run. */
export const refusalPaths: readonly RefusalPath[] = [
  {
    name: 'unknown token',
    path: '/v1/completions',
    statusCode: 401,
    body: completion({}),
    headers: { authorization: 'Bearer nobody' },
  },
  { name: 'unknown route', path: '/v1/colours', statusCode: 404, body: '{}' },
  {
    name: 'unknown model',
    path: '/v1/completions',
    statusCode: 404,
    body: completion({ model: 'absent' }),
  },
  { name: 'malformed JSON', path: '/v1/completions', statusCode: 400, body: '{"model":' },
  { name: 'bad UTF-8', path: '/v1/completions', statusCode: 400, body: invalidUtf8 },
  {
    name: 'missing prompt',
    path: '/v1/completions',
    statusCode: 400,
    body: `{"model":"${model}"}`,
  },
  {
    name: 'oversized body',
    path: '/v1/completions',
    statusCode: 413,
    body: completion({ prompt: 'x'.repeat(oversizedBytes) }),
  },
  { name: 'oversized filing', path: '/filings', statusCode: 413, body: 'x'.repeat(oversizedBytes) },
  { name: 'missing key', path: '/filings', statusCode: 400, body: '{"filing":"no-key"}' },
];

/** Sends a request that must be refused. */
export const sendRefusedRequest = async (
  daemon: testing.FleetDaemon,
  refusal: RefusalPath,
): Promise<ReceivedRefusal> => {
  const { statusCode, headers, body } = await undici.request(`${daemon.url}${refusal.path}`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${testing.customerToken(customer)}`,
      ...refusal.headers,
    },
    body: refusal.body,
  });
  return {
    name: refusal.name,
    statusCode,
    ran: String(headers['x-comfreydrum-ran'] ?? ''),
    refusedBy: String(headers['x-comfreydrum-refused-by'] ?? ''),
    requestId: String(headers['x-request-id'] ?? ''),
    text: await body.text(),
  };
};

/**
 * Returns a violation unless a refusal has the expected status, is reported as not run and names
 * who refused it.
 */
export const checkRefusal = (
  { name, statusCode }: RefusalPath,
  seen: ReceivedRefusal,
): readonly string[] => {
  const isExpected =
    seen.statusCode === statusCode && seen.ran === 'not-run' && seen.refusedBy !== '';
  return isExpected ? [] : [`${name}: expected ${statusCode} not-run, got ${JSON.stringify(seen)}`];
};
