import type * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import {
  emptyFabricDomainRecord,
  fabricDomainKind,
  fabricDomainSchema,
  type FabricDomainRecord,
} from './FabricDomainRecord';

/** A record with its object version on the platform, which is 0 before the first write. */
export interface VersionedRecord {
  readonly version: number;
  readonly record: FabricDomainRecord;
}

/** The outcome of a write: stored, lost to a concurrent write, unknown, or failed. */
export type WriteOutcome = 'written' | 'lost' | 'ambiguous' | 'failed';

/** Caches the records of all fabric domains and keeps them current with a watch. */
export interface RecordCache {
  readonly get: (fabricDomain: string) => VersionedRecord;
  readonly all: () => ReadonlyMap<string, VersionedRecord>;
  /** Whether the records have been listed at least once. */
  readonly isLoaded: () => boolean;
  /** Rereads one record. Returns whether the read succeeded; a missing record counts as success. */
  readonly refresh: (fabricDomain: string) => Promise<boolean>;
  /** Writes a record if the platform still has the version it was derived from. */
  readonly write: (
    fabricDomain: string,
    basis: VersionedRecord,
    record: FabricDomainRecord,
  ) => Promise<WriteOutcome>;
  /** Watches for changes until `signal` aborts. */
  readonly follow: (signal: AbortSignal) => Promise<void>;
}

/** Dependencies of the cache; `pauseMs` spreads out the watch calls of many daemons. */
export interface RecordCacheOptions {
  readonly platform: objectStore.PlatformClient;
  readonly log: telemetry.Log;
  readonly pauseMs: () => number;
  readonly sleep: (durationMs: number, signal: AbortSignal) => Promise<void>;
  readonly onChange: () => void;
}

/**
 * Bounds how long the cache stays out of date if the platform never responds to a watch, as in an
 * outage.
 */
const watchTimeoutMs = 5_000;
const retryPauseMs = 1_000;
const unwrittenRecord: VersionedRecord = { version: 0, record: emptyFabricDomainRecord };

/** Creates an empty record cache. */
export const createRecordCache = (options: RecordCacheOptions): RecordCache => {
  const { log, onChange } = options;
  const records = new Map<string, VersionedRecord>();
  let isLoaded = false;

  const store = ({ name, version, value }: objectStore.StoredObject) => {
    if (version <= (records.get(name)?.version ?? 0)) return;
    const checked = fabricDomainSchema.safeParse(value);
    if (checked.success) records.set(name, { version, record: checked.data });
    else log.error({ step: 'read fabric domain', peer: name }, checked.error.message);
  };

  const refresh = async (fabricDomain: string) => {
    const key = { kind: fabricDomainKind, name: fabricDomain };
    const found = await options.platform.get(key, 'safety');
    if (found.ok) {
      store(found.value);
      onChange();
    }
    return found.ok || found.error.kind === 'not-found';
  };

  const write: RecordCache['write'] = async (fabricDomain, basis, record) => {
    const condition = basis.version === 0 ? 'absent' : { version: basis.version };
    const key = { kind: fabricDomainKind, name: fabricDomain };
    const result = await options.platform.put(key, record, condition, 'safety');
    if (result.ok) {
      records.set(fabricDomain, { version: result.value, record });
      onChange();
      return 'written';
    }
    if (result.error.kind === 'conflict') return 'lost';
    return result.error.kind === 'ambiguous' ? 'ambiguous' : 'failed';
  };

  const list = async (): Promise<number | undefined> => {
    const listed = await options.platform.list(fabricDomainKind);
    if (!listed.ok) return undefined;
    listed.value.objects.forEach(store);
    isLoaded = true;
    onChange();
    return listed.value.version;
  };

  const watch = async (sinceVersion: number, signal: AbortSignal): Promise<number | undefined> => {
    const batch = await options.platform.watch(
      fabricDomainKind,
      sinceVersion,
      watchTimeoutMs,
      signal,
    );
    if (!batch.ok) return undefined;
    batch.value.changed.forEach(store);
    if (batch.value.changed.length > 0) onChange();
    return batch.value.version;
  };

  return {
    get: (fabricDomain) => records.get(fabricDomain) ?? unwrittenRecord,
    all: () => records,
    isLoaded: () => isLoaded,
    refresh,
    write,
    follow: async (signal) => {
      let version: number | undefined;
      while (!signal.aborted) {
        version = version === undefined ? await list() : await watch(version, signal);
        const pauseMs = options.pauseMs() + (version === undefined ? retryPauseMs : 0);
        await options.sleep(pauseMs, signal);
      }
    },
  };
};
