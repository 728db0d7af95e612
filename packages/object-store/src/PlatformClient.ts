import type * as errors from '@comfreydrum/errors';
import type { ListedInstance } from './ListedInstance';
import type { PlatformFailure } from './PlatformFailure';

/** Names an object of the platform. */
export interface ObjectKey {
  readonly kind: string;
  readonly name: string;
}

/** An object as the platform holds it; versions rise with every change of any object. */
export interface StoredObject extends ObjectKey {
  readonly version: number;
  readonly value: unknown;
}

/** The changes of one kind since a version; a deleted object has no value. */
export interface WatchBatch {
  readonly version: number;
  readonly changed: readonly StoredObject[];
  readonly deletedNames: readonly string[];
}

/** What must hold for a write to take effect: the object's version, or that there is none. */
export type WriteCondition = { readonly version: number } | 'absent';

/** Which calls go first when the budget is short. */
export type CallPriority = 'safety' | 'normal' | 'background';

type Outcome<Value> = Promise<errors.Result<Value, PlatformFailure>>;

/** The platform's object API. */
export interface PlatformClient {
  readonly get: (key: ObjectKey, priority?: CallPriority) => Outcome<StoredObject>;
  /** Gives all objects of a kind, and the version from which a watch continues. */
  readonly list: (
    kind: string,
    priority?: CallPriority,
  ) => Outcome<{ readonly version: number; readonly objects: readonly StoredObject[] }>;
  /** Writes under a condition and gives the new version. */
  readonly put: (
    key: ObjectKey,
    value: unknown,
    condition: WriteCondition,
    priority?: CallPriority,
  ) => Outcome<number>;
  readonly remove: (key: ObjectKey, version: number, priority?: CallPriority) => Outcome<void>;
  /** Waits up to `timeoutMs` for changes of a kind later than `sinceVersion`. */
  readonly watch: (
    kind: string,
    sinceVersion: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ) => Outcome<WatchBatch>;
  /** Gives the platform's list of target instances, which lags. */
  readonly instances: (priority?: CallPriority) => Outcome<readonly ListedInstance[]>;
}
