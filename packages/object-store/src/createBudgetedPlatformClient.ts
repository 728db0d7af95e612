import type * as clock from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import type * as lifecycle from '@comfreydrum/lifecycle';
import { createCallBudget } from './createCallBudget';
import { createRateMeter } from './createRateMeter';
import { createRecentMaximum } from './createRecentMaximum';
import { createCallQueue } from './createCallQueue';
import { createOutageDetector, type Outage } from './createOutageDetector';
import type { CallPriority, PlatformClient } from './PlatformClient';
import type { PlatformFailure } from './PlatformFailure';

/** The dependencies and settings of a budgeted platform client. */
export interface BudgetedPlatformClientOptions {
  readonly clock: clock.Clock;
  /** Returns uniform numbers from 0 to 1, 1 excluded. */
  readonly random: () => number;
  /** Reads per second of the whole fleet; a watch counts as one read. */
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
  /** Returns how many daemons currently share the rates, including this one. */
  readonly memberCount: () => number;
  /** The maximum delay between attempts to reach a platform that is down. */
  readonly maxRetryMs?: number;
}

/** Counts of platform calls since the start, and the state of the client. */
export interface PlatformStatistics {
  readonly readCount: number;
  readonly writeCount: number;
  readonly watchCount: number;
  /** Calls that shared the response of another. */
  readonly coalescedCount: number;
  /** Calls rejected locally without being sent. */
  readonly turnedAwayCount: number;
  readonly failureCount: number;
  readonly waitingCount: number;
  /** Rate over the last ten seconds; a watch counts as a read. */
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
  /** The rate at which this daemon may currently call. */
  readonly readBudgetPerSecond: number;
  readonly writeBudgetPerSecond: number;
  readonly outage: Outage;
}

/** The client through which a daemon makes all its platform calls. */
export interface BudgetedPlatformClient extends PlatformClient {
  readonly outage: () => Outage;
  readonly statistics: () => PlatformStatistics;
  /** Probes the platform while it is down. */
  readonly component: lifecycle.Component;
}

type CallResult<Value> = errors.Result<Value, PlatformFailure>;
type CallKind = 'read' | 'write' | 'watch';

const reachedFailureKinds: ReadonlySet<PlatformFailure['kind']> = new Set([
  'conflict',
  'not-found',
  'refused',
  'too-large',
  'expired',
]);
const probeCheckIntervalMs = 100;
/** An object that never exists, as reading it is the cheapest call. */
const probeKey = { kind: 'reachability', name: 'none' };

/** Wraps `inner` with a call budget, priorities, coalescing of reads and outage detection. */
export const createBudgetedPlatformClient = (
  inner: PlatformClient,
  options: BudgetedPlatformClientOptions,
): BudgetedPlatformClient => {
  const memberCount = createRecentMaximum(options.clock, options.memberCount);
  const readBudget = createCallBudget({
    clock: options.clock,
    fleetPerSecond: options.readsPerSecond,
    memberCount,
  });
  const writeBudget = createCallBudget({
    clock: options.clock,
    fleetPerSecond: options.writesPerSecond,
    memberCount,
  });
  const readQueue = createCallQueue(readBudget);
  const writeQueue = createCallQueue(writeBudget);
  const readMeter = createRateMeter(options.clock);
  const writeMeter = createRateMeter(options.clock);
  const detector = createOutageDetector(options.clock, options.random, options.maxRetryMs);
  const unsentReads = new Map<string, Promise<CallResult<unknown>>>();
  const counts = { read: 0, write: 0, watch: 0, coalesced: 0, rejected: 0, failed: 0 };

  const reject = (kind: 'refused' | 'unreachable', step: string, message: string) => {
    counts.rejected += 1;
    return errors.err<PlatformFailure>({ kind, step, peer: 'platform', message });
  };

  const isDown = () => detector.outage().kind === 'outage';

  const recordResult = (result: CallResult<unknown>) => {
    const reached = result.ok || reachedFailureKinds.has(result.error.kind);
    if (!reached) counts.failed += 1;
    const wasDown = isDown();
    detector.report(reached);
    if (reached && wasDown) {
      readBudget.reset();
      writeBudget.reset();
    }
    if (!wasDown && isDown()) {
      readQueue.rejectAll();
      writeQueue.rejectAll();
    }
  };

  const send = async <Value>(
    kind: CallKind,
    call: () => Promise<CallResult<Value>>,
    signal?: AbortSignal,
  ): Promise<CallResult<Value>> => {
    counts[kind] += 1;
    (kind === 'write' ? writeMeter : readMeter).count();
    const result = await call();
    if (!signal?.aborted) recordResult(result);
    if (!result.ok && result.error.kind === 'refused') {
      (kind === 'write' ? writeBudget : readBudget).recordRefusal();
    }
    return result;
  };

  const sendWhenAdmitted = async <Value>(
    kind: CallKind,
    step: string,
    priority: CallPriority,
    call: () => Promise<CallResult<Value>>,
    signal?: AbortSignal,
  ): Promise<CallResult<Value>> => {
    const rejectAsDown = () => reject('unreachable', step, `${step}: the platform is down`);
    if (isDown()) return rejectAsDown();
    const queue = kind === 'write' ? writeQueue : readQueue;
    const admitted = await queue.acquire(priority);
    if (isDown()) return rejectAsDown();
    if (!admitted) return reject('refused', step, `${step}: the call budget is spent`);
    return send(kind, call, signal);
  };

  /**
   * Coalesces a read with an identical one that is still waiting to be sent. A read that was already
   * sent is not shared, since its response may predate a write that this caller has seen succeed.
   */
  const read = <Value>(
    id: string,
    step: string,
    priority: CallPriority,
    call: () => Promise<CallResult<Value>>,
  ): Promise<CallResult<Value>> => {
    const key = `${priority} ${id}`;
    const unsent = unsentReads.get(key);
    if (unsent) {
      counts.coalesced += 1;
      return unsent as Promise<CallResult<Value>>;
    }
    const result = sendWhenAdmitted('read', step, priority, () => {
      unsentReads.delete(key);
      return call();
    });
    unsentReads.set(key, result);
    const removeUnsent = () => {
      if (unsentReads.get(key) === result) unsentReads.delete(key);
    };
    void result.then(removeUnsent, removeUnsent);
    return result;
  };

  let timer: NodeJS.Timeout | undefined;
  let isProbing = false;
  const probe = async () => {
    const outage = detector.outage();
    if (outage.kind === 'none' || outage.retryAfterMs > 0 || isProbing) return;
    isProbing = true;
    await send('read', () => inner.get(probeKey)).finally(() => {
      isProbing = false;
    });
  };

  return {
    get: (key, priority = 'normal') =>
      read(`get ${key.kind}/${key.name}`, 'get object', priority, () => inner.get(key, priority)),
    list: (kind, priority = 'normal') =>
      read(`list ${kind}`, 'list objects', priority, () => inner.list(kind, priority)),
    instances: (priority = 'normal') =>
      read('instances', 'list instances', priority, () => inner.instances(priority)),
    put: (key, value, condition, priority = 'normal') =>
      sendWhenAdmitted('write', 'put object', priority, () =>
        inner.put(key, value, condition, priority),
      ),
    remove: (key, version, priority = 'normal') =>
      sendWhenAdmitted('write', 'remove object', priority, () =>
        inner.remove(key, version, priority),
      ),
    watch: (kind, sinceVersion, timeoutMs, signal) =>
      sendWhenAdmitted(
        'watch',
        'watch objects',
        'normal',
        () => inner.watch(kind, sinceVersion, timeoutMs, signal),
        signal,
      ),
    outage: detector.outage,
    statistics: () => ({
      readCount: counts.read,
      writeCount: counts.write,
      watchCount: counts.watch,
      coalescedCount: counts.coalesced,
      turnedAwayCount: counts.rejected,
      failureCount: counts.failed,
      waitingCount: readQueue.waitingCount() + writeQueue.waitingCount(),
      readsPerSecond: readMeter.perSecond(),
      writesPerSecond: writeMeter.perSecond(),
      readBudgetPerSecond: readBudget.perSecond(),
      writeBudgetPerSecond: writeBudget.perSecond(),
      outage: detector.outage(),
    }),
    component: {
      name: 'platform client',
      start: () => {
        timer = setInterval(() => {
          void probe();
        }, probeCheckIntervalMs);
      },
      stop: () => {
        clearInterval(timer);
        readQueue.rejectAll();
        writeQueue.rejectAll();
      },
    },
  };
};
