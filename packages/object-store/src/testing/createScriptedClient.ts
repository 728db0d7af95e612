import * as errors from '@comfreydrum/errors';
import type { PlatformClient, StoredObject, WatchBatch } from '../PlatformClient';
import type { PlatformFailure } from '../PlatformFailure';

type Failed = PlatformFailure['kind'];

/** One scripted response: the result of a call, or the kind of its failure. */
export type ScriptedAnswer =
  | { readonly list: readonly StoredObject[]; readonly version: number }
  | { readonly watch: Partial<WatchBatch> & { readonly version: number } }
  | { readonly object: StoredObject }
  | { readonly fail: Failed };

/** A client that returns responses in a fixed order; further calls wait until more are added. */
export interface ScriptedClient extends PlatformClient {
  readonly calls: readonly string[];
  readonly add: (...answers: readonly ScriptedAnswer[]) => void;
}

const failure = (kind: Failed) =>
  errors.err<PlatformFailure>({ kind, step: 'test', peer: 'store', message: kind });

/** Creates a client that returns the scripted responses. */
export const createScriptedClient = (...script: readonly ScriptedAnswer[]): ScriptedClient => {
  const answers = [...script];
  const calls: string[] = [];
  const waiting: ((answer: ScriptedAnswer) => void)[] = [];

  const next = async (call: string): Promise<ScriptedAnswer> => {
    calls.push(call);
    const answer = answers.shift();
    if (answer !== undefined) return answer;
    return new Promise((resolve) => {
      waiting.push(resolve);
    });
  };

  const read = async <Value>(call: string, pick: (answer: ScriptedAnswer) => Value | undefined) => {
    const answer = await next(call);
    if ('fail' in answer) return failure(answer.fail);
    const value = pick(answer);
    if (value === undefined)
      throw new Error(`call ${call}: the next scripted response is of another kind`);
    return errors.ok(value);
  };

  return {
    calls,
    add: (...more) => {
      more.forEach((answer) => {
        const resolve = waiting.shift();
        if (resolve === undefined) answers.push(answer);
        else resolve(answer);
      });
    },
    get: ({ kind, name }) =>
      read(`get ${kind}/${name}`, (answer) => ('object' in answer ? answer.object : undefined)),
    list: (kind) =>
      read(`list ${kind}`, (answer) =>
        'list' in answer ? { version: answer.version, objects: answer.list } : undefined,
      ),
    watch: (kind, since) =>
      read(`watch ${kind} ${since}`, (answer) =>
        'watch' in answer ? { changed: [], deletedNames: [], ...answer.watch } : undefined,
      ),
    put: async () => failure('ambiguous'),
    remove: async () => failure('ambiguous'),
    instances: async () => failure('not-found'),
  };
};
