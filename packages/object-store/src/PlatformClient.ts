import type * as errors from '@comfreydrum/errors';
import type { Era } from './Era';
import type { ListedInstance } from './ListedInstance';
import type { PlatformFailure } from './PlatformFailure';

/** The key of a platform object. */
export interface ObjectKey {
  readonly kind: string;
  readonly name: string;
}

/** An object as stored by the platform; every change of any object increases the version. */
export interface StoredObject extends ObjectKey {
  readonly version: number;
  readonly value: unknown;
}

/** One object, as read. */
export interface ReadObject extends StoredObject {
  readonly era?: Era;
}

/** All objects of a kind, and the version from which a watch continues. */
export interface ObjectList {
  readonly version: number;
  readonly objects: readonly StoredObject[];
  readonly era?: Era;
}

/** The changes of one kind since a version; deleted objects are listed by name only. */
export interface WatchBatch {
  readonly version: number;
  readonly era?: Era;
  readonly changed: readonly StoredObject[];
  readonly deletedNames: readonly string[];
}

/** The condition of a write: the expected version of the object, or that the object does not exist. */
export type WriteCondition = { readonly version: number } | 'absent';

/** The priority of a call when the call budget is exhausted, highest first. */
export type CallPriority = 'safety' | 'normal' | 'background';

type PlatformResult<Value> = Promise<errors.Result<Value, PlatformFailure>>;

/** The platform's object API. */
export interface PlatformClient {
  readonly get: (key: ObjectKey, priority?: CallPriority) => PlatformResult<ReadObject>;
  readonly list: (kind: string, priority?: CallPriority) => PlatformResult<ObjectList>;
  /** Writes an object if the condition holds; returns the new version. */
  readonly put: (
    key: ObjectKey,
    value: unknown,
    condition: WriteCondition,
    priority?: CallPriority,
  ) => PlatformResult<number>;
  readonly remove: (
    key: ObjectKey,
    version: number,
    priority?: CallPriority,
  ) => PlatformResult<void>;
  /** Waits up to `timeoutMs` for changes of a kind later than `sinceVersion`. */
  readonly watch: (
    kind: string,
    sinceVersion: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ) => PlatformResult<WatchBatch>;
  /** Returns the platform's list of target instances, which lags behind the real state. */
  readonly instances: (priority?: CallPriority) => PlatformResult<readonly ListedInstance[]>;
}
