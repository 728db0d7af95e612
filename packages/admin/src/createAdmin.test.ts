import { createHash } from 'node:crypto';
import process from 'node:process';
import * as clock from '@comfreydrum/clock';
import type * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';
import * as telemetry from '@comfreydrum/telemetry';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createAdmin } from './createAdmin';
import type { AdminDependencies } from './AdminDependencies';

const test = uvu.suite('admin');

const digest = (text: string) => createHash('sha256').update(text).digest('hex');

let port = 20_000;
/**
 * A loopback address derived from the process id, so that concurrent test processes do not collide.
 */
const host = `127.93.${Math.floor(process.pid / 256) % 256}.${process.pid % 256}`;

type Apply = configuration.ConfigurationManager['apply'];

const acceptChange: Apply = () => Promise.resolve({ kind: 'accepted', team: 'north', revision: 8 });

const createDependencies = (apply: Apply): AdminDependencies => {
  const systemClock = clock.createSystemClock();
  const self = {
    instanceId: 'entry-1',
    address: '127.0.0.1:1',
    region: 'navarra',
    failureDomain: 'pamplona-a',
    state: 'live',
    incarnation: '1',
  } as const;
  return {
    listen: { host, port },
    tokens: [{ team: 'north', tokenSha256: digest('north-token') }],
    log: telemetry.createLog({ level: 'silent', instanceId: 'entry-1' }),
    metrics: telemetry.createMetrics(),
    timeline: telemetry.createTimeline('entry-1', clock.createHybridClock(systemClock)),
    configuration: {
      current: () => [],
      revisions: () => ({ north: 7 }),
      onChange: () => () => {},
      apply,
      remove: acceptChange,
      freshness: () => ({ kind: 'fresh', provedAtMs: 0 }),
      digest: () => 'digest',
      component: { name: 'configuration' },
    },
    ledger: {
      listUnknown: () => Promise.resolve(errors.ok([])),
      resolve: (claimId) =>
        Promise.resolve(
          errors.err({ kind: 'not-found', step: 'resolve', peer: claimId, message: 'no claim' }),
        ),
    },
    membership: {
      self: () => self,
      members: () => [self],
      onChange: () => () => {},
      leave: () => {},
    },
    calls: {
      call: () => Promise.reject(new Error('no other daemon')),
      handle: () => {},
    },
    status: () => {
      throw new Error('not read');
    },
    readiness: () => ({ ready: false, reason: 'no configuration is in force' }),
    drain: () => {},
  };
};

const withAdmin = async (
  use: (url: string) => Promise<void>,
  apply: Apply = acceptChange,
  overrides: Partial<AdminDependencies> = {},
) => {
  port += 1;
  const part = createAdmin({ ...createDependencies(apply), ...overrides });
  await part.start?.();
  try {
    await use(`http://${host}:${port}`);
  } finally {
    await part.stop?.();
  }
};

interface PutOptions {
  readonly team?: string;
  readonly token?: string;
  readonly expected?: string;
  readonly body?: string;
}

const put = async (url: string, options: PutOptions) => {
  const { team = 'north', token = 'north-token', expected = '7' } = options;
  const response = await fetch(`${url}/v1/configurations/${team}`, {
    method: 'PUT',
    headers: { authorization: `Bearer ${token}`, 'x-expected-revision': expected },
    body: options.body ?? JSON.stringify({ team }),
  });
  return { status: response.status, text: await response.text() };
};

test('applies the document with the expected revision', async () => {
  const calls: unknown[] = [];
  const apply: Apply = (document, expected) => {
    calls.push([document, expected]);
    return acceptChange(document, expected);
  };
  await withAdmin(async (url) => {
    assert.is((await put(url, {})).status, 200);
  }, apply);
  assert.equal(calls, [[{ team: 'north' }, 7]]);
});

test('rejects an invalid request before applying anything', async () => {
  let applied = 0;
  const apply: Apply = (document, expected) => {
    applied += 1;
    return acceptChange(document, expected);
  };
  await withAdmin(async (url) => {
    const expectations: readonly (readonly [PutOptions, number, string])[] = [
      [{ token: 'x' }, 403, 'may not use the administration interface'],
      [{ team: 'south' }, 403, 'may not change team \\"south\\"'],
      [{ expected: 'any' }, 400, 'x-expected-revision'],
      [{ body: '{' }, 400, 'the body is not JSON'],
      [{ body: '{"team":"south"}' }, 422, '.team: expected \\"north\\"'],
    ];
    for (const [options, status, message] of expectations) {
      const response = await put(url, options);
      assert.is(response.status, status);
      assert.match(response.text, message);
    }
  }, apply);
  assert.is(applied, 0);
});

test('reports the winning revision of a conflict', async () => {
  const apply: Apply = () =>
    Promise.resolve({ kind: 'conflict', team: 'north', winnerRevision: 9 });
  await withAdmin(async (url) => {
    const response = await put(url, {});
    assert.is(response.status, 409);
    assert.match(response.text, '"winnerRevision": 9');
  }, apply);
});

test('serves only the health and metrics routes without a token', async () => {
  await withAdmin(async (url) => {
    const statusOf = async (path: string) => (await fetch(`${url}${path}`)).status;
    assert.is(await statusOf('/livez'), 200);
    assert.is(await statusOf('/readyz'), 503);
    assert.is(await statusOf('/metrics'), 200);
    assert.is(await statusOf('/v1/timeline'), 403);
  });
});

test('resolves no claim while the team of the claim is unknown', async () => {
  let resolved = 0;
  const failure = {
    kind: 'platform',
    step: 'list',
    peer: 'platform',
    message: 'platform down',
  } as const;
  const ledger: AdminDependencies['ledger'] = {
    listUnknown: () => Promise.resolve(errors.err(failure)),
    resolve: () => {
      resolved += 1;
      return Promise.resolve(errors.ok(undefined));
    },
  };
  await withAdmin(
    async (url) => {
      const response = await fetch(`${url}/v1/ledger/resolve`, {
        method: 'POST',
        headers: { authorization: 'Bearer north-token' },
        body: JSON.stringify({ claimId: 'c1', outcome: 'not-run', who: 'clerk' }),
      });
      assert.is(response.status, 503);
    },
    acceptChange,
    { ledger },
  );
  assert.is(resolved, 0);
});

test('reports a claim that does not exist', async () => {
  await withAdmin(async (url) => {
    const response = await fetch(`${url}/v1/ledger/resolve`, {
      method: 'POST',
      headers: { authorization: 'Bearer north-token' },
      body: JSON.stringify({ claimId: 'c1', outcome: 'ran', who: 'clerk' }),
    });
    assert.is(response.status, 404);
    assert.match(await response.text(), 'no claim');
  });
});

test.run();
