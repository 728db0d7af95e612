import { setTimeout as sleep } from 'node:timers/promises';
import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';

/** The fault that the platform injects into a write. */
export type WriteFault = 'none' | 'lose-answer' | 'lose-request' | 'delay-effect';

/** An in-memory platform with injectable faults. */
export interface MemoryPlatform extends objectStore.PlatformClient {
  /** Sets the function that selects the fault of each write; the default is `none`. */
  readonly setWriteFault: (decide: (key: objectStore.ObjectKey) => WriteFault) => void;
  readonly setOutage: (outage: 'none' | 'refuse' | 'hang') => void;
  /** Applies all delayed writes whose conditions still hold. */
  readonly applyDelayed: () => void;
  readonly counts: () => { readonly reads: number; readonly writes: number };
  readonly storedBytes: () => number;
  readonly names: (kind: string) => readonly string[];
}

type Failure = objectStore.PlatformFailure;

const maxValueBytes = 1_000_000;

/** Creates an empty platform that responds after `latencyMs`. */
export const createMemoryPlatform = (latencyMs = 0): MemoryPlatform => {
  const objects = new Map<string, { readonly version: number; readonly text: string }>();
  const delayed: (() => void)[] = [];
  let version = 0;
  let outage: 'none' | 'refuse' | 'hang' = 'none';
  let decideFault: (key: objectStore.ObjectKey) => WriteFault = () => 'none';
  const counts = { reads: 0, writes: 0 };

  const fail = (kind: Failure['kind'], step: string, { kind: peer, name }: objectStore.ObjectKey) =>
    errors.err<Failure>({ kind, step, peer: `${peer}/${name}`, message: kind });

  const idOf = ({ kind, name }: objectStore.ObjectKey) => `${kind}/${name}`;

  const holds = (key: objectStore.ObjectKey, condition: objectStore.WriteCondition): boolean => {
    const found = objects.get(idOf(key));
    return condition === 'absent' ? !found : found?.version === condition.version;
  };

  const respond = async (): Promise<boolean> => {
    await sleep(latencyMs);
    if (outage === 'hang') await new Promise(() => {});
    return outage === 'none';
  };

  const applyPut = (
    key: objectStore.ObjectKey,
    text: string,
    condition: objectStore.WriteCondition,
  ) => {
    if (!holds(key, condition)) return fail('conflict', 'put', key);
    version += 1;
    objects.set(idOf(key), { version, text });
    return errors.ok(version);
  };

  return {
    get: async (key) => {
      counts.reads += 1;
      if (!(await respond())) return fail('unreachable', 'get', key);
      const found = objects.get(idOf(key));
      if (!found) return fail('not-found', 'get', key);
      const value: unknown = JSON.parse(found.text);
      return errors.ok({ ...key, version: found.version, value });
    },
    list: (kind) => Promise.resolve(fail('refused', 'list', { kind, name: '' })),
    put: async (key, value, condition) => {
      counts.writes += 1;
      const text = JSON.stringify(value);
      const fault = decideFault(key);
      if (!(await respond())) return fail('unreachable', 'put', key);
      if (text.length > maxValueBytes) return fail('too-large', 'put', key);
      if (fault === 'lose-request') return fail('ambiguous', 'put', key);
      if (fault === 'delay-effect') {
        delayed.push(() => {
          applyPut(key, text, condition);
        });
        return fail('ambiguous', 'put', key);
      }
      const result = applyPut(key, text, condition);
      return fault === 'lose-answer' ? fail('ambiguous', 'put', key) : result;
    },
    remove: async (key, expected) => {
      counts.writes += 1;
      if (!(await respond())) return fail('unreachable', 'remove', key);
      if (!objects.has(idOf(key))) return fail('not-found', 'remove', key);
      if (!holds(key, { version: expected })) return fail('conflict', 'remove', key);
      objects.delete(idOf(key));
      return errors.ok(undefined);
    },
    watch: (kind) => Promise.resolve(fail('refused', 'watch', { kind, name: '' })),
    instances: () => Promise.resolve(errors.ok([])),
    setWriteFault: (decide) => {
      decideFault = decide;
    },
    setOutage: (next) => {
      outage = next;
    },
    applyDelayed: () => delayed.splice(0).forEach((land) => land()),
    counts: () => ({ ...counts }),
    storedBytes: () => [...objects.values()].reduce((sum, { text }) => sum + text.length, 0),
    names: (kind) =>
      [...objects.keys()]
        .filter((id) => id.startsWith(`${kind}/`))
        .map((id) => id.slice(kind.length + 1)),
  };
};
