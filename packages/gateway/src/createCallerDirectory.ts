import { createHash } from 'node:crypto';
import type * as configuration from '@comfreydrum/configuration';

/** The sender of a request: a customer of a team, and the caller within that customer. */
export interface Caller {
  readonly team: configuration.Configuration;
  readonly customer: configuration.Customer;
  /** Digest of the caller's token, which distinguishes the callers of one customer. */
  readonly callerId: string;
}

/** Finds the caller of a bearer token. */
export interface CallerDirectory {
  readonly find: (authorization: string | undefined) => Caller | undefined;
}

const bearerPattern = /^Bearer ([\x21-\x7e]{1,512})$/;

const indexByToken = (teams: readonly configuration.Configuration[]) =>
  new Map(
    teams.flatMap((team) =>
      team.customers.flatMap((customer) =>
        customer.tokensSha256.map((digest): [string, Caller] => [
          digest,
          { team, customer, callerId: digest },
        ]),
      ),
    ),
  );

/** Creates a directory of the callers in the current configuration. Tokens are compared by digest only. */
export const createCallerDirectory = (store: configuration.ConfigurationStore): CallerDirectory => {
  let index = indexByToken(store.current());
  store.onChange(() => {
    index = indexByToken(store.current());
  });
  return {
    find: (authorization = '') => {
      const token = bearerPattern.exec(authorization)?.[1];
      if (token === undefined) return undefined;
      return index.get(createHash('sha256').update(token).digest('hex'));
    },
  };
};
