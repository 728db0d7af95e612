import * as errors from '@comfreydrum/errors';
import type { Era } from '../Era';
import type { PlatformClient, StoredObject, WatchBatch } from '../PlatformClient';
import type { PlatformFailure } from '../PlatformFailure';

type Failed = PlatformFailure['kind'];

/** One scripted response: the result of a call, or the kind of its failure. */
export type ScriptedResponse =
  | { readonly list: readonly StoredObject[]; readonly version: number; readonly era?: Era }
  | { readonly watch: Partial<WatchBatch> & { readonly version: number } }
  | { readonly object: StoredObject }
  | { readonly fail: Failed };

/** A client that returns responses in a fixed order; further calls wait until more are added. */
export interface ScriptedClient extends PlatformClient {
  readonly calls: readonly string[];
  readonly add: (...responses: readonly ScriptedResponse[]) => void;
}

const failure = (kind: Failed) =>
  errors.err<PlatformFailure>({ kind, step: 'test', peer: 'store', message: kind });

/** Creates a client that returns the scripted responses. */
export const createScriptedClient = (...script: readonly ScriptedResponse[]): ScriptedClient => {
  const responses = [...script];
  const calls: string[] = [];
  const waiting: ((response: ScriptedResponse) => void)[] = [];

  const next = async (call: string): Promise<ScriptedResponse> => {
    calls.push(call);
    const response = responses.shift();
    if (response !== undefined) return response;
    return new Promise((resolve) => {
      waiting.push(resolve);
    });
  };

  const read = async <Value>(
    call: string,
    pick: (response: ScriptedResponse) => Value | undefined,
  ) => {
    const response = await next(call);
    if ('fail' in response) return failure(response.fail);
    const value = pick(response);
    if (value === undefined)
      throw new Error(`call ${call}: the next scripted response is of another kind`);
    return errors.ok(value);
  };

  return {
    calls,
    add: (...more) => {
      more.forEach((response) => {
        const resolve = waiting.shift();
        if (resolve === undefined) responses.push(response);
        else resolve(response);
      });
    },
    get: ({ kind, name }) =>
      read(`get ${kind}/${name}`, (response) =>
        'object' in response ? response.object : undefined,
      ),
    list: (kind) =>
      read(`list ${kind}`, (response) =>
        'list' in response
          ? { version: response.version, objects: response.list, era: response.era }
          : undefined,
      ),
    watch: (kind, since) =>
      read(`watch ${kind} ${since}`, (response) =>
        'watch' in response ? { changed: [], deletedNames: [], ...response.watch } : undefined,
      ),
    put: async () => failure('ambiguous'),
    remove: async () => failure('ambiguous'),
    instances: async () => failure('not-found'),
  };
};
