import * as selfsigned from 'selfsigned';

/** A self-signed certificate and its private key, PEM-encoded. */
export interface TestCertificate {
  readonly certificate: string;
  readonly key: string;
}

/** The `iPAddress` choice of an X.509 subject alternative name. */
const ipAddressType = 7;

/** Creates a self-signed certificate for the address `ip` with a new private key. */
export const createCertificate = async (ip: string): Promise<TestCertificate> => {
  const { cert, private: key } = await selfsigned.generate(
    [{ name: 'commonName', value: 'comfreydrum test' }],
    {
      keyType: 'ec',
      extensions: [{ name: 'subjectAltName', altNames: [{ type: ipAddressType, ip }] }],
    },
  );
  return { certificate: cert, key };
};
