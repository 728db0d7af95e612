import * as objectStore from '@comfreydrum/object-store';
import { createHttpStandin } from '../http/createHttpStandin';
import type { Standin, StandinCall, StandinRoute } from '../http/createHttpStandin';
import { sendJson } from '../http/sendJson';
import { createInstanceList } from './createInstanceList';
import { createObjectStore } from './createObjectStore';
import { platformFaultsSchema } from './PlatformFaults';
import type { PlatformFaults, LossFault } from './PlatformFaults';

/** Options of the platform stand-in; a rate left out is unlimited. */
export interface PlatformStandinOptions {
  readonly listen?: string | undefined;
  readonly historyLength?: number | undefined;
  readonly readsPerSecond?: number | undefined;
  readonly writesPerSecond?: number | undefined;
  readonly instanceLagMs?: number | undefined;
}

/** Calls to the stand-in since its start; a watch counts as one call however long it waits. */
export interface PlatformCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly conflicts: number;
  readonly overRate: number;
  readonly lostAnswers: number;
  readonly writesByKind: Readonly<Record<string, number>>;
}

/** The platform stand-in, with its controls for tests in the same process. */
export interface PlatformStandin extends Standin {
  readonly setFaults: (faults: PlatformFaults) => void;
  readonly counts: () => PlatformCounts;
  readonly setInstance: (instance: objectStore.ListedInstance) => void;
}

type CallClass = 'reads' | 'writes' | 'watches';
type WriteResult = readonly [status: number, body: unknown];

const maxValueBytes = 1_048_576;
const maxWatchMs = 60_000;
const rateWindowMs = 1_000;

const toVersionText = (version: number | undefined) =>
  version === undefined ? 'absent' : String(version);

/** Creates a stand-in for the platform's object API. */
export const createPlatformStandin = (options: PlatformStandinOptions = {}): PlatformStandin => {
  const store = createObjectStore(options.historyLength ?? 10_000);
  const instances = createInstanceList(() => performance.now());
  const limits: Readonly<Record<CallClass, number>> = {
    reads: options.readsPerSecond ?? Infinity,
    watches: options.readsPerSecond ?? Infinity,
    writes: options.writesPerSecond ?? Infinity,
  };
  const counts = { reads: 0, writes: 0, watches: 0, conflicts: 0, overRate: 0, lostAnswers: 0 };
  const writesByKind: Record<string, number> = {};
  const window = { startMs: 0, reads: 0, writes: 0, watches: 0 };
  const interruptWatches = new Set<() => void>();
  let faults: PlatformFaults = { outage: 'none', instanceLagMs: options.instanceLagMs ?? 0 };

  const setFaults = (changes: PlatformFaults) => {
    faults = { ...faults, ...changes };
    if (faults.outage !== 'none') [...interruptWatches].forEach((interrupt) => interrupt());
  };

  const isOverRate = (callClass: CallClass): boolean => {
    const nowMs = performance.now();
    if (nowMs - window.startMs >= rateWindowMs) {
      Object.assign(window, { startMs: nowMs, reads: 0, writes: 0, watches: 0 });
    }
    window[callClass] += 1;
    const used = callClass === 'writes' ? window.writes : window.reads + window.watches;
    return used > limits[callClass];
  };

  /** Decrements the count of a loss fault when it applies to the call; returns whether it did. */
  const consumeLoss = (
    fault: 'loseAnswers' | 'lateWrites',
    method: string,
    kind: string,
  ): boolean => {
    const loss: LossFault | undefined = faults[fault];
    if (!loss || loss.count === 0 || !loss.methods.includes(method)) return false;
    if (loss.kinds && !loss.kinds.includes(kind)) return false;
    faults = { ...faults, [fault]: { ...loss, count: loss.count - 1 } };
    return true;
  };

  const withFaults =
    (callClass: CallClass, handle: (call: StandinCall) => void) =>
    (call: StandinCall): void => {
      counts[callClass] += 1;
      const proceed = () => {
        if (faults.outage === 'hang') return;
        if (faults.outage === 'refuse') {
          sendJson(call.response, 503, { error: 'outage' });
        } else if (isOverRate(callClass)) {
          counts.overRate += 1;
          call.response.setHeader('retry-after', '1');
          sendJson(call.response, 429, { error: 'over the rate' });
        } else handle(call);
      };
      if (faults.delayMs) setTimeout(proceed, faults.delayMs);
      else proceed();
    };

  const write = (call: StandinCall, apply: () => WriteResult) => {
    const method = call.request.method ?? '';
    const kind = call.parameters.kind!;
    writesByKind[kind] = (writesByKind[kind] ?? 0) + 1;
    if (consumeLoss('lateWrites', method, kind)) {
      counts.lostAnswers += 1;
      setTimeout(apply, faults.lateWrites?.afterMs ?? 0);
      call.request.socket.destroy();
      return;
    }
    const [status, body] = apply();
    if (status === 412) counts.conflicts += 1;
    if (consumeLoss('loseAnswers', method, kind)) {
      counts.lostAnswers += 1;
      call.request.socket.destroy();
      return;
    }
    sendJson(call.response, status, body);
  };

  const toKey = ({ parameters }: StandinCall): objectStore.ObjectKey => ({
    kind: parameters.kind!,
    name: parameters.name!,
  });

  const put = (call: StandinCall) => {
    const key = toKey(call);
    const ifMatch = call.request.headers['if-match'];
    const expected = call.request.headers['if-none-match'] === '*' ? 'absent' : ifMatch;
    write(call, () => {
      const found = store.get(key);
      if (expected === undefined) return [428, { error: 'a condition is required' }];
      if (call.bodyBytes > maxValueBytes) return [413, { error: 'value is over 1 MB' }];
      if (toVersionText(found?.version) !== expected) {
        return [412, { error: 'condition failed', version: found?.version }];
      }
      return [200, { version: store.put(key, call.body) }];
    });
  };

  const remove = (call: StandinCall) => {
    const key = toKey(call);
    write(call, () => {
      const found = store.get(key);
      if (!found) return [404, { error: 'not found' }];
      if (String(found.version) !== call.request.headers['if-match']) {
        return [412, { error: 'condition failed', version: found.version }];
      }
      return [200, { version: store.remove(key) }];
    });
  };

  const watch = (call: StandinCall) => {
    const kind = call.parameters.kind!;
    const since = Number(call.query.get('since') ?? 0);
    const timeoutMs = Math.min(Number(call.query.get('timeoutMs') ?? maxWatchMs), maxWatchMs);
    const respond = (isFinal: boolean): boolean => {
      const batch = store.changesSince(kind, since);
      if (batch === 'expired') sendJson(call.response, 410, { error: 'version is too old' });
      else if (isFinal || batch.changed.length + batch.deletedNames.length > 0) {
        sendJson(call.response, 200, batch);
      } else return false;
      return true;
    };
    if (respond(false)) return;
    const subscription: { end: () => void } = { end: () => {} };
    const interrupt = () => {
      subscription.end();
      if (faults.outage === 'refuse') sendJson(call.response, 503, { error: 'outage' });
    };
    const timer = setTimeout(() => {
      subscription.end();
      respond(true);
    }, timeoutMs);
    const unsubscribe = store.onChange(kind, () => {
      if (respond(false)) subscription.end();
    });
    subscription.end = () => {
      clearTimeout(timer);
      unsubscribe();
      interruptWatches.delete(interrupt);
    };
    interruptWatches.add(interrupt);
    call.response.once('close', subscription.end);
  };

  const get = (call: StandinCall) => {
    const found = store.get(toKey(call));
    sendJson(call.response, found ? 200 : 404, found ?? { error: 'not found' });
  };

  const list = ({ response, parameters }: StandinCall) =>
    sendJson(response, 200, {
      version: store.version(),
      objects: store.list(parameters.kind!),
    });

  const listInstances = ({ response }: StandinCall) =>
    sendJson(response, 200, { instances: instances.read(faults.instanceLagMs ?? 0) });

  const currentCounts = (): PlatformCounts => ({ ...counts, writesByKind });

  const controlFaults = ({ response, body }: StandinCall) => {
    const parsed = platformFaultsSchema.safeParse(body);
    if (parsed.success) setFaults(parsed.data);
    sendJson(response, parsed.success ? 200 : 400, parsed.success ? faults : parsed.error);
  };

  const controlInstance = ({ response, parameters, body }: StandinCall) => {
    const instanceId = parameters.instanceId!;
    const entry = { ...instances.get(instanceId), ...(body as object), instanceId };
    const parsed = objectStore.listedInstanceSchema.safeParse(entry);
    if (parsed.success) instances.set(parsed.data);
    sendJson(response, parsed.success ? 200 : 400, parsed.success ? entry : parsed.error);
  };

  const routes: readonly StandinRoute[] = [
    { method: 'GET', path: '/objects/:kind/:name', handle: withFaults('reads', get) },
    { method: 'GET', path: '/objects/:kind', handle: withFaults('reads', list) },
    { method: 'PUT', path: '/objects/:kind/:name', handle: withFaults('writes', put) },
    { method: 'DELETE', path: '/objects/:kind/:name', handle: withFaults('writes', remove) },
    { method: 'GET', path: '/watch/:kind', handle: withFaults('watches', watch) },
    { method: 'GET', path: '/instances', handle: withFaults('reads', listInstances) },
    { method: 'POST', path: '/control/faults', handle: controlFaults },
    {
      method: 'GET',
      path: '/control/counts',
      handle: ({ response }) => sendJson(response, 200, currentCounts()),
    },
    { method: 'PUT', path: '/control/instances/:instanceId', handle: controlInstance },
    {
      method: 'DELETE',
      path: '/control/instances/:instanceId',
      handle: ({ response, parameters }) => {
        instances.remove(parameters.instanceId!);
        sendJson(response, 200, {});
      },
    },
  ];

  return {
    ...createHttpStandin(options.listen ?? '127.0.0.1:0', routes),
    setFaults,
    counts: currentCounts,
    setInstance: instances.set,
  };
};
