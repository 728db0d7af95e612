import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createMemoryLinks } from './testing/createMemoryLinks';
import { createTestGateway, testTokens, type TestGateway } from './testing/createTestGateway';

const test = uvu.suite('quarantine of service requests');

const handoverMs = 5_000;
const failureDomains = ['pamplona-a', 'pamplona-b', 'baztan', 'tudela'];
const daemonIds = ['entry-0', 'entry-1'];

/** Starts an instance of a service that shuts down when a request contains the word "poison". */
const startDesk = async (port = 0) => {
  let runCount = 0;
  const server: http.Server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      if (request.url !== '/presence') runCount += 1;
      if (`${request.url}${Buffer.concat(chunks).toString()}`.includes('poison')) {
        server.close();
        server.closeAllConnections();
      } else response.end('{"ok":true}');
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    isUp: () => server.listening,
    runCount: () => runCount,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};

type Desk = Awaited<ReturnType<typeof startDesk>>;

const withFleet = async (
  deskCount: number,
  use: (daemons: readonly TestGateway[], desks: readonly Desk[]) => Promise<void>,
) => {
  const desks = await Promise.all(Array.from({ length: deskCount }, () => startDesk()));
  const serviceTargets = desks.map(({ port }, index) => ({
    instanceId: `desk-${index}`,
    url: `http://127.0.0.1:${port}`,
    failureDomain: failureDomains[index]!,
  }));
  const { links } = createMemoryLinks(daemonIds);
  const daemons = await Promise.all(
    links.map((link) =>
      createTestGateway({
        target: (_request, response) => response.end(),
        serviceTargets,
        link,
      }),
    ),
  );
  // A new permit coordinator grants nothing until the permits of an earlier one have expired.
  daemons.forEach((daemon) => daemon.advanceClock(handoverMs));
  try {
    await use(daemons, desks);
  } finally {
    await Promise.all(daemons.map((daemon) => daemon.stop()));
    desks.forEach((desk) => desk.stop());
  }
};

const send = async (daemon: TestGateway, path: string, body?: string, key = '') => {
  const answer = await fetch(`${daemon.url}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${testTokens.court}`, 'idempotency-key': key },
    ...(body === undefined ? {} : { body }),
  });
  return {
    status: answer.status,
    ran: answer.headers.get('x-comfreydrum-ran'),
    text: await answer.text(),
  };
};

const lookUp = (daemon: TestGateway, caseId: string) => send(daemon, `/cases/${caseId}`);
const file = (daemon: TestGateway, body: string, key: string) =>
  send(daemon, '/filings', body, key);

const requests: readonly [
  string,
  (daemon: TestGateway, turn: number) => ReturnType<typeof send>,
][] = [
  ['lookup', (daemon) => lookUp(daemon, 'poison')],
  ['filing with a new key each time', (daemon, turn) => file(daemon, '"poison"', `key-${turn}`)],
];

for (const [name, ask] of requests) {
  test(`a ${name} crashes at most two targets across all daemons`, () =>
    withFleet(4, async (daemons, desks) => {
      for (let turn = 0; turn < 4; turn += 1) await ask(daemons[turn % 2]!, turn);
      const last = await ask(daemons[0]!, 9);
      assert.is(desks.filter((desk) => !desk.isUp()).length, 2);
      assert.is(last.status, 422);
      assert.is(last.ran, 'not-run');
      assert.match(last.text, 'request_quarantined');
      assert.is((await lookUp(daemons[1]!, 'innocent')).status, 200);
    }));
}

test('runs a suspect on a target that restarted', () =>
  withFleet(1, async ([daemon], [desk]) => {
    const poisoned = file(daemon!, '"poison"', 'a');
    assert.is((await poisoned).ran, 'unknown');
    const again = await startDesk(desk!.port);
    daemon!.advanceClock(handoverMs);
    assert.is((await lookUp(daemon!, 'innocent')).status, 200);
    assert.is((await file(daemon!, '"poison"', 'b')).ran, 'unknown');
    assert.is(again.isUp(), false);
    assert.is((await file(daemon!, '"poison"', 'c')).status, 422);
  }));

test('does not suspect a request after a connection reset if the target is up', async () => {
  let runCount = 0;
  const gateway = await createTestGateway({
    target: (request, response) => {
      if (request.url === '/filings') runCount += 1;
      if (request.url === '/filings' && runCount === 1) request.socket.resetAndDestroy();
      else response.end('{}');
    },
  });
  assert.is((await file(gateway, '"a"', 'a')).ran, 'unknown');
  assert.is((await file(gateway, '"a"', 'b')).ran, 'ran');
  await gateway.stop();
});

test.run();
