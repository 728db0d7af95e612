import type { MessageSigner } from './createMessageSigner';

/** The HTTP headers of calls between daemons and of their responses. */
export const callHeaders = {
  caller: 'x-comfreydrum-caller',
  fleet: 'x-comfreydrum-fleet',
  time: 'x-comfreydrum-time',
  encoding: 'content-encoding',
  signature: 'x-comfreydrum-signature',
} as const;

type CallFields = Readonly<Record<string, string>>;
type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

/** A response and the headers of its call. */
export interface SignedResponse<Fields extends Headers = Headers> {
  readonly callHeaders: Headers;
  readonly statusCode: number;
  readonly headers: Fields;
  readonly body: Buffer;
}

/** Signs calls and responses in an HTTP header, and verifies those of other daemons. */
export interface CallSigner {
  /** Returns the headers of a call with its signature; without tokens no signature is added. */
  readonly signCall: (headers: CallFields, body: Buffer) => CallFields;
  readonly verifyCall: (headers: Headers, body: Buffer) => boolean;
  /** Returns the headers of a response with its signature, which is valid only for that call. */
  readonly signResponse: (answer: SignedResponse<CallFields>) => CallFields;
  readonly verifyResponse: (answer: SignedResponse) => boolean;
}

const { caller, fleet, time, encoding, signature } = callHeaders;

const callContext = (headers: Headers): string =>
  JSON.stringify(['call', headers[caller], headers[fleet], headers[time], headers[encoding]]);

const responseContext = (answer: SignedResponse): string =>
  JSON.stringify([
    'answer',
    answer.callHeaders[signature],
    answer.statusCode,
    answer.headers[time],
    answer.headers[encoding],
  ]);

export const createCallSigner = (signer: MessageSigner): CallSigner => {
  const withSignature = (context: string, headers: CallFields, body: Buffer): CallFields => {
    if (signer.signatureBytes === 0) return headers;
    return { ...headers, [signature]: signer.sign(context, body).toString('hex') };
  };

  const verify = (context: string, headers: Headers, body: Buffer) =>
    signer.verify(context, body, Buffer.from(String(headers[signature] ?? ''), 'hex'));

  return {
    signCall: (headers, body) => withSignature(callContext(headers), headers, body),
    verifyCall: (headers, body) => verify(callContext(headers), headers, body),
    signResponse: (answer) => withSignature(responseContext(answer), answer.headers, answer.body),
    verifyResponse: (answer) => verify(responseContext(answer), answer.headers, answer.body),
  };
};
