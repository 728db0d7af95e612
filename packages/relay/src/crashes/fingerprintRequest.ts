import type * as routing from '@comfreydrum/routing';
import type { CallerRequest } from '../CallerRequest';

/** Returns the fingerprint of a request's customer, method, host, URL and body; its id and other headers are ignored. */
export const fingerprintRequest = (
  hasher: routing.PrefixHasher,
  { method, host, url }: CallerRequest,
  customerName: string | undefined,
  body: Buffer | null,
): string => {
  const head = Buffer.from(`${method} ${host} ${url}\n`);
  const content = body === null ? head : Buffer.concat([head, body]);
  return hasher.fingerprint(customerName ?? '', '', content);
};
