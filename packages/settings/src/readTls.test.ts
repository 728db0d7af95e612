import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as settings from './index';
import { createCertificate, type TestCertificate } from './testing/createCertificate';

interface Context {
  folder: string;
  first: TestCertificate;
  second: TestCertificate;
}

const test = uvu.suite<Context>('TLS files');

test.before(async (context) => {
  context.first = await createCertificate('127.0.0.1');
  context.second = await createCertificate('127.0.0.1');
});

test.before.each(async (context) => {
  context.folder = await mkdtemp(join(tmpdir(), 'tls-'));
});

test.after.each((context) => rm(context.folder, { recursive: true }));

/** Loads settings whose gateway and admin listeners use the given files; null omits a file. */
const load = async (folder: string, certificate: string | null, key: string | null) => {
  const certificateFile = join(folder, 'certificate.pem');
  const keyFile = join(folder, 'key.pem');
  if (certificate !== null) await writeFile(certificateFile, certificate);
  if (key !== null) await writeFile(keyFile, key);
  const file = join(folder, 'settings.json');
  const tls = { certificateFile, keyFile };
  const document = {
    instanceId: 'entry-1',
    region: 'navarra',
    failureDomain: 'pamplona-a',
    gateway: { listen: '127.0.0.1:8080', tls },
    admin: { listen: '127.0.0.1:8081', tls },
    peers: { listen: '127.0.0.1:8082' },
    platform: { url: 'http://127.0.0.1:9000' },
  };
  await writeFile(file, JSON.stringify(document));
  const result = await settings.loadSettings(file, {});
  return { ...tls, file, message: result.ok ? '' : result.error.message };
};

test('accepts a certificate and its private key', async ({ folder, first }) => {
  const { message } = await load(folder, first.certificate, first.key);
  assert.is(message, '');
});

test('names each field whose file is missing', async ({ folder, first }) => {
  const { file, certificateFile, message } = await load(folder, null, first.key);
  assert.match(message, `${file} .gateway.tls.certificateFile: ${certificateFile}: ENOENT`);
  assert.match(message, `${file} .admin.tls.certificateFile: ${certificateFile}: ENOENT`);
});

test('reports a file that is not a certificate or not a private key', async ({ folder, first }) => {
  const certificate = await load(folder, first.key, first.key);
  const expected = `${certificate.certificateFile}: expected a PEM certificate`;
  assert.match(certificate.message, `.gateway.tls.certificateFile: ${expected}`);
  const key = await load(folder, first.certificate, 'no key');
  assert.match(key.message, `.gateway.tls.keyFile: ${key.keyFile}: expected a PEM private key`);
});

test('reports a key that does not match the certificate', async ({ folder, first, second }) => {
  const { certificateFile, keyFile, message } = await load(folder, first.certificate, second.key);
  const expected = `${keyFile}: expected the private key of the certificate in ${certificateFile}`;
  assert.match(message, `.gateway.tls.keyFile: ${expected}`);
});

test.run();
