import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';

interface StubResponse {
  readonly status: number;
  readonly body: object;
}

const test = uvu.suite('comfreydrumctl');

const run = async (url: string, ...commandArguments: readonly string[]) => {
  const started = testing.startProcess({
    name: 'comfreydrumctl',
    command: ['apps/comfreydrumctl/dist/main.js', '--url', url, ...commandArguments],
  });
  const { code } = await started.exited;
  const output = started
    .lines()
    .map(({ text }) => text)
    .join('\n');
  return { code, output };
};

/** Runs a stub daemon whose team `north` has revision 7 in force. */
const withStubDaemon = async (putResponse: StubResponse, use: (url: string) => Promise<void>) => {
  const responses: Readonly<Record<string, StubResponse>> = {
    GET: { status: 200, body: { revision: 7, document: { team: 'north' } } },
    PUT: putResponse,
  };
  const server = http.createServer((request, response) => {
    const { status, body } = responses[request.method ?? ''] ?? { status: 404, body: {} };
    request.resume();
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    await use(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
};

const withFile = async (document: object, use: (file: string) => Promise<void>) => {
  const folder = await mkdtemp(join(tmpdir(), 'comfreydrumctl-'));
  const file = join(folder, 'team.json');
  await writeFile(file, JSON.stringify(document));
  try {
    await use(file);
  } finally {
    await rm(folder, { recursive: true });
  }
};

const valid = { team: 'north', failureDomains: [], targetKinds: [] };

test('reports the revision in force on a conflict, with exit code 3', async () => {
  const conflict = { kind: 'conflict', team: 'north', winnerRevision: 9 };
  await withStubDaemon({ status: 409, body: conflict }, (url) =>
    withFile(valid, async (file) => {
      const { code, output } = await run(url, 'apply', file);
      assert.is(code, 3);
      assert.match(output, 'revision 9 is in force instead of 7');
    }),
  );
});

test('prints what a dry run would change', async () => {
  const checked = { kind: 'checked', team: 'north', revision: 8 };
  await withStubDaemon({ status: 200, body: checked }, (url) =>
    withFile(valid, async (file) => {
      const { code, output } = await run(url, 'apply', file, '--dry-run');
      assert.is(code, 0);
      assert.match(output, '+ .targetKinds: []');
      assert.match(output, 'north: would become revision 8');
    }),
  );
});

test('reports file and path of an invalid value without calling a daemon, with exit code 2', () =>
  withFile({ ...valid, team: 'North' }, async (file) => {
    const { code, output } = await run('http://127.0.0.1:1', 'apply', file);
    assert.is(code, 2);
    assert.match(output, `${file} .team: `);
  }));

test('reports a daemon that does not respond, with exit code 4', async () => {
  const { code, output } = await run('http://127.0.0.1:1', 'status');
  assert.is(code, 4);
  assert.match(output, 'http://127.0.0.1:1 gave no answer');
});

test('prints help', async () => {
  const { code, output } = await run('http://127.0.0.1:1', '--help');
  assert.is(code, 0);
  assert.match(output, 'apply [options] <file>');
});

test.run();
