import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import * as testing from '@comfreydrum/testing';
import * as undici from 'undici';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import {
  createCertificate,
  type TestCertificate,
} from '../../../packages/settings/src/testing/createCertificate';

interface Context {
  folder: string;
  certificate: TestCertificate;
  other: TestCertificate;
}

const startTimeoutMs = 15_000;
/** A loopback address derived from the process id, so that no other test process uses it. */
const host = `127.94.${Math.floor(process.pid / 256) % 256}.${process.pid % 256}`;
const gatewayAddress = `${host}:8080`;
const adminAddress = `${host}:8081`;

const test = uvu.suite<Context>('TLS of the daemon');

test.before(async (context) => {
  context.certificate = await createCertificate(host);
  context.other = await createCertificate(host);
});

test.before.each(async (context) => {
  context.folder = await mkdtemp(join(tmpdir(), 'tls-'));
});

test.after.each((context) => rm(context.folder, { recursive: true }));

const startDaemon = async (folder: string, { certificate, key }: TestCertificate) => {
  const tls = {
    certificateFile: join(folder, 'certificate.pem'),
    keyFile: join(folder, 'key.pem'),
  };
  const file = join(folder, 'settings.json');
  await writeFile(tls.certificateFile, certificate);
  await writeFile(tls.keyFile, key);
  await writeFile(
    file,
    JSON.stringify({
      instanceId: 'entry-1',
      region: 'navarra',
      failureDomain: 'pamplona-a',
      gateway: { listen: gatewayAddress, tls },
      admin: { listen: adminAddress, tls },
      peers: { listen: `${host}:8082` },
      platform: { url: `http://${host}:9000` },
      shutdown: { noticeMs: 0 },
    }),
  );
  const daemon = testing.startProcess({
    name: 'comfreydrumd',
    command: ['apps/comfreydrumd/dist/main.js', '--settings', file],
  });
  return { daemon, file, ...tls };
};

const withDaemon = async (
  { folder, certificate }: Context,
  use: (get: (url: string) => Promise<string>) => Promise<void>,
) => {
  const { daemon } = await startDaemon(folder, certificate);
  const trustingAgent = new undici.Agent({ connect: { ca: certificate.certificate } });
  const get = async (url: string) => {
    const { body } = await undici.request(url, { dispatcher: trustingAgent });
    return body.text();
  };
  try {
    await daemon.waitForLine(({ fields }) => fields.msg === 'started', startTimeoutMs, 'its start');
    await use(get);
  } finally {
    await trustingAgent.destroy();
    await daemon.kill();
  }
};

test('serves callers and operators over TLS', (context) =>
  withDaemon(context, async (get) => {
    assert.is(await get(`https://${gatewayAddress}/livez`), 'live\n');
    assert.is(await get(`https://${adminAddress}/livez`), 'live\n');
  }));

test('closes plain HTTP connections to a TLS port immediately and counts them', (context) =>
  withDaemon(context, async (get) => {
    for (const [listener, address] of [
      ['gateway', gatewayAddress],
      ['admin', adminAddress],
    ] as const) {
      const cause = await get(`http://${address}/livez`).then(String, (error: Error) => error);
      assert.instance(cause, undici.errors.SocketError);
      const metrics = await get(`https://${adminAddress}/metrics`);
      const name = `comfreydrum_${listener}_tls_failures_total`;
      assert.match(metrics, `${name}{code="ERR_SSL_HTTP_REQUEST"} 1`);
    }
  }));

test('serves a renewed certificate after a restart', async (context) => {
  await withDaemon(context, (get) => get(`https://${gatewayAddress}/livez`).then(() => {}));
  const renewed = { ...context, certificate: context.other };
  await withDaemon(renewed, async (get) => {
    assert.is(await get(`https://${gatewayAddress}/livez`), 'live\n');
  });
});

test('does not start with the key of another certificate', async ({
  folder,
  certificate,
  other,
}) => {
  const mixed = { certificate: certificate.certificate, key: other.key };
  const { daemon, file, keyFile } = await startDaemon(folder, mixed);
  assert.is((await daemon.exited).code, 2);
  const output = daemon.lines().map(({ text }) => text);
  assert.match(output.join('\n'), `${file} .gateway.tls.keyFile: ${keyFile}: expected the private`);
});

test('comfreydrumctl trusts the certificate in NODE_EXTRA_CA_CERTS', (context) =>
  withDaemon(context, async () => {
    const runStatus = async (environment: Readonly<Record<string, string>>) => {
      const { exited, lines } = testing.startProcess({
        name: 'comfreydrumctl',
        command: ['apps/comfreydrumctl/dist/main.js', '--url', `https://${adminAddress}`, 'status'],
        environment,
      });
      const { code } = await exited;
      return {
        code,
        output: lines()
          .map(({ text }) => text)
          .join('\n'),
      };
    };
    const untrusting = await runStatus({});
    assert.is(untrusting.code, 4);
    assert.match(untrusting.output, 'certificate');
    const file = join(context.folder, 'certificate.pem');
    const trusting = await runStatus({ NODE_EXTRA_CA_CERTS: file });
    assert.match(trusting.output, 'the token may not use the administration interface');
  }));

test.run();
