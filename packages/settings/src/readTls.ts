import { createPrivateKey, X509Certificate } from 'node:crypto';
import { readFileSync } from 'node:fs';
import * as errors from '@comfreydrum/errors';

/**
 * The PEM files of a listener: its certificate chain, leaf certificate first, and its private key.
 */
export interface TlsFiles {
  readonly certificateFile: string;
  readonly keyFile: string;
}

/** The PEM certificate chain and private key of a TLS listener. */
export interface TlsMaterial {
  readonly certificate: Buffer;
  readonly key: Buffer;
}

/**
 * Why the TLS files of a listener were rejected; the message names the file and the expected
 * content.
 */
export interface TlsFailure extends errors.Failure<'tls-invalid'> {
  readonly field: keyof TlsFiles;
}

type TlsResult<Value> = errors.Result<Value, TlsFailure>;

const fail = (field: keyof TlsFiles, file: string, message: string) =>
  errors.err<TlsFailure>({
    kind: 'tls-invalid',
    step: 'read TLS files',
    peer: file,
    field,
    message: `${file}: ${message}`,
  });

const readBytes = (field: keyof TlsFiles, file: string): TlsResult<Buffer> => {
  try {
    return errors.ok(readFileSync(file));
  } catch (cause) {
    return fail(field, file, errors.describeCause(cause));
  }
};

const parse = <Value>(
  field: keyof TlsFiles,
  file: string,
  expected: string,
  create: () => Value,
): TlsResult<Value> => {
  try {
    return errors.ok(create());
  } catch (cause) {
    return fail(field, file, `expected ${expected}: ${errors.describeCause(cause)}`);
  }
};

/** Reads the TLS files of a listener and verifies that the private key matches the certificate. */
export const readTls = ({ certificateFile, keyFile }: TlsFiles): TlsResult<TlsMaterial> => {
  const certificate = readBytes('certificateFile', certificateFile);
  if (!certificate.ok) return certificate;
  const key = readBytes('keyFile', keyFile);
  if (!key.ok) return key;

  const parsed = parse(
    'certificateFile',
    certificateFile,
    'a PEM certificate',
    () => new X509Certificate(certificate.value),
  );
  if (!parsed.ok) return parsed;
  const parsedKey = parse('keyFile', keyFile, 'a PEM private key without passphrase', () =>
    createPrivateKey(key.value),
  );
  if (!parsedKey.ok) return parsedKey;
  if (!parsed.value.checkPrivateKey(parsedKey.value)) {
    const expected = `expected the private key of the certificate in ${certificateFile}`;
    return fail('keyFile', keyFile, expected);
  }
  return errors.ok({ certificate: certificate.value, key: key.value });
};
