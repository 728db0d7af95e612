import { setTimeout as delay } from 'node:timers/promises';
import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';

/** The content of a fake store at some time. */
export interface FakeStoreCopy {
  readonly objects: ReadonlyMap<string, objectStore.StoredObject>;
  readonly version: number;
}

/** An in-memory object store with fault injection. */
export interface FakeStore {
  readonly clientOf: (address: string) => objectStore.PlatformClient;
  /** Rejects the calls of one daemon, and continues to serve the others. */
  readonly rejectCallsOf: (address: string) => void;
  readonly acceptCallsOf: (address: string) => void;
  /** Executes the reads of one daemon only after this time. */
  readonly delayReadsOf: (address: string, delayMs: number) => void;
  /** Returns the present content, for `comeBackFrom`. */
  readonly copy: () => FakeStoreCopy;
  /** Loses what was written since the copy, and enters the next era. */
  readonly comeBackFrom: (copy: FakeStoreCopy) => void;
  readonly setDown: (isDown: boolean) => void;
  /** Executes the writes of one daemon at once, but responds to them after this time. */
  readonly delayWriteResponsesOf: (address: string, delayMs: number) => void;
  /** Executes the next write but loses the response. */
  readonly loseNextResponse: () => void;
}

/** Creates an empty store. */
export const createFakeStore = (): FakeStore => {
  const objects = new Map<string, objectStore.StoredObject>();
  let version = 0;
  let era = 1;
  let down = false;
  let losesNextResponse = false;
  const rejectedAddresses = new Set<string>();
  const readDelaysMs = new Map<string, number>();
  const writeDelaysMs = new Map<string, number>();

  const fail = (kind: objectStore.PlatformFailure['kind']) =>
    errors.err<objectStore.PlatformFailure>({
      kind,
      step: 'call',
      peer: 'store',
      message: kind,
      ...(kind === 'not-found' ? { era } : {}),
    });
  const pathOf = ({ kind, name }: objectStore.ObjectKey) => `${kind}/${name}`;

  const put = (
    key: objectStore.ObjectKey,
    value: unknown,
    condition: objectStore.WriteCondition,
  ): errors.Result<number, objectStore.PlatformFailure> => {
    const before = objects.get(pathOf(key));
    const holds =
      condition === 'absent' ? before === undefined : before?.version === condition.version;
    if (!holds) return fail('conflict');
    version += 1;
    objects.set(pathOf(key), { ...key, version, value });
    if (!losesNextResponse) return errors.ok(version);
    losesNextResponse = false;
    return fail('ambiguous');
  };

  const clientOf = (address: string): objectStore.PlatformClient => ({
    get: async (key) => {
      await delay(readDelaysMs.get(address) ?? 0);
      if (down || rejectedAddresses.has(address)) return fail('unreachable');
      const object = objects.get(pathOf(key));
      return object === undefined ? fail('not-found') : errors.ok({ ...object, era });
    },
    put: async (key, value, condition) => {
      if (down || rejectedAddresses.has(address)) return fail('unreachable');
      const written = put(key, value, condition);
      await delay(writeDelaysMs.get(address) ?? 0);
      return written;
    },
    remove: async () => fail('ambiguous'),
    list: async () => fail('ambiguous'),
    watch: async () => fail('ambiguous'),
    instances: async () => fail('ambiguous'),
  });

  return {
    clientOf,
    rejectCallsOf: (address) => {
      rejectedAddresses.add(address);
    },
    acceptCallsOf: (address) => {
      rejectedAddresses.delete(address);
    },
    delayReadsOf: (address, delayMs) => {
      readDelaysMs.set(address, delayMs);
    },
    copy: () => ({ objects: new Map(objects), version }),
    comeBackFrom: (copy) => {
      objects.clear();
      copy.objects.forEach((object, path) => objects.set(path, object));
      version = copy.version;
      era += 1;
    },
    setDown: (isDown) => {
      down = isDown;
    },
    delayWriteResponsesOf: (address, delayMs) => {
      writeDelaysMs.set(address, delayMs);
    },
    loseNextResponse: () => {
      losesNextResponse = true;
    },
  };
};
