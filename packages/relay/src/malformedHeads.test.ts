import type * as http from 'node:http';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call } from './testing/callers';
import { eventsOf } from './testing/streams';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('answers with a malformed head');

const body = eventsOf(1, 2);

type Framing = 'length' | 'chunks' | 'close';

const framings: Readonly<Record<Framing, string>> = {
  length: `content-length: ${body.length}\r\n\r\n${body}`,
  chunks: `transfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  close: `\r\n${body}`,
};

interface Answer {
  readonly head: string;
  readonly framing: Framing;
}

const listAnswers = (heads: readonly string[]): readonly Answer[] =>
  heads.flatMap((head) =>
    (['length', 'chunks', 'close'] as const).map((framing) => ({ head, framing })),
  );

const headsWith = (fields: readonly string[]) =>
  fields.map((field) => `HTTP/1.1 200 OK\r\n${field}`);

const answerWith =
  (answers: readonly Answer[]): http.RequestListener =>
  (request) => {
    request.resume();
    const requestId = String(request.headers['x-id']);
    const { head, framing } = answers[Number(requestId.slice(1))]!;
    const fields = `x-id: ${requestId}\r\nx-stamp: s\r\ncontent-type: text/event-stream`;
    request.socket.end(`${head}\r\n${fields}\r\n${framings[framing]}`, 'latin1');
  };

const routes = [
  { kind: 'non-idempotent', maxTargets: 1 },
  { kind: 'idempotent', maxTargets: 1 },
  { kind: 'stream', maxTargets: 1 },
] as const;

const concurrency = 16;

/** Calls a relay once for each answer of its target; returns the answers whose request did not end with `status`. */
const listOthers = async (
  route: (typeof routes)[number],
  answers: readonly Answer[],
  status: number,
) => {
  const others: string[] = [];
  const targets = [{ id: 't1', listener: answerWith(answers) }];
  await withRelay({ targets, route, slots: 1_000 }, async ({ url }) => {
    const waiting = [...answers.entries()];
    const work = async () => {
      for (let next = waiting.pop(); next !== undefined; next = waiting.pop()) {
        const [index, { head, framing }] = next;
        const response = await call(url, { headers: { 'x-id': `r${index}` } });
        if (response.status === status) continue;
        others.push(`${JSON.stringify(head)}, ${framing}: ${response.status} ${response.text}`);
      }
    };
    await Promise.all(Array.from({ length: concurrency }, work));
  });
  return others;
};

routes.forEach((route) => {
  test(`are told from sound ones: ${route.kind}`, async () => {
    assert.equal(await listOthers(route, listAnswers(headsWith(['x-a: b'])), 200), []);
  });

  test(`do not reach callers when the status is none: ${route.kind}`, async () => {
    const answers = listAnswers(testing.malformedStatusLines);
    assert.equal(await listOthers(route, answers, 502), []);
  });

  test(`do not reach callers when a field name is no token: ${route.kind}`, async () => {
    const answers = listAnswers(headsWith(testing.malformedFields));
    assert.equal(await listOthers(route, answers, 502), []);
  });
});

test.run();
