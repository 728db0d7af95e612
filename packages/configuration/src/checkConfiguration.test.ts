import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as configuration from './index';

const test = uvu.suite('check configuration');

const document = {
  team: 'navarra-norte',
  failureDomains: [{ name: 'pamplona-a', region: 'navarra' }],
  targetKinds: [{ name: 'case-desk', protocol: 'service' }],
  services: [{ name: 'filing', targetKind: 'case-desk' }],
  routes: [
    {
      kind: 'service',
      name: 'file',
      path: '/filings',
      service: 'filing',
      idempotent: false,
      idempotency: { key: 'header' },
    },
  ],
};

const check = (changes: object) =>
  configuration.checkConfiguration({ ...document, ...changes }, 'team.json');

test('accepts a complete document and fills in defaults', () => {
  const result = check({});
  assert.is(result.ok && result.value.routes[0]!.deadlineMs, 60_000);
});

test('reports a reference to a name that does not exist', () => {
  const result = check({ services: [{ name: 'filing', targetKind: 'desk' }] });
  assert.is(
    result.ok ? '' : result.error.message,
    'team.json .services[0].targetKind: "desk" does not exist in .targetKinds',
  );
});

test('requires idempotency settings on a route that is not idempotent', () => {
  const [route] = document.routes;
  const result = check({ routes: [{ ...route, idempotency: undefined }] });
  assert.match(result.ok ? '' : result.error.message, '.routes[0].idempotency: required');
});

test('rejects duplicate names and unknown fields', () => {
  const twice = check({ services: [document.services[0], document.services[0]] });
  assert.match(twice.ok ? '' : twice.error.message, 'name "filing" is used more than once');
  const unknown = check({ colour: 'red' });
  assert.match(unknown.ok ? '' : unknown.error.message, 'Unrecognized key: "colour"');
});

test.run();
