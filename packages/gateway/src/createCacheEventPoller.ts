import * as clocks from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import type * as routing from '@comfreydrum/routing';
import type * as telemetry from '@comfreydrum/telemetry';
import type * as targetClient from '@comfreydrum/target-client';
import type { Candidate } from './SlotPool';
import { readCacheEvents } from './readCacheEvents';

/** Polls the cache events of the groups that this daemon sends requests to. */
export interface CacheEventPoller {
  /** Wraps a router so that it receives the cache events of the targets it dispatches to. */
  readonly trackDispatches: (
    router: routing.Router,
    candidates: () => readonly Candidate[],
  ) => routing.Router;
  /** Polls the least recently polled target. A started poller calls this repeatedly. */
  readonly poll: () => Promise<void>;
  readonly start: () => void;
  readonly stop: () => void;
}

/** Options of a cache event poller. */
export interface CacheEventPollerOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly targets: targetClient.TargetClient;
  readonly random: routing.Random;
  /** Returns the number of daemons that poll, including this one. */
  readonly daemonCount: () => number;
}

interface TrackedTarget {
  readonly targetId: string;
  readonly generation: number;
  readonly router: routing.Router;
  readonly candidates: () => readonly Candidate[];
  /** The sequence number of the first event not received yet. */
  since: number;
  sentAtMs: number;
  backoffUntilMs: number;
}

const minIntervalMs = 1_000;
/** Minimum time, before jitter, between two polls by one daemon and between two polls of one target. */
const minGapMs = 125;
const minJitterFactor = 0.75;
const jitterRange = 0.5;
const timeoutMs = 500;
const maxResponseBytes = 262_144;
const maxEvents = 2_000;
/** A target is no longer polled once this daemon has sent it no request for this long. */
const idleTimeoutMs = 60_000;
/** How long a target is not polled after a failed poll. */
const failureBackoffMs = 30_000;
const maxTrackedTargets = 1_024;

/** Creates a poller that, once started, polls the targets one at a time in round-robin order. */
export const createCacheEventPoller = (options: CacheEventPollerOptions): CacheEventPoller => {
  const { log, targets, random } = options;
  const nowMs = () => options.clock.monotonicMs();
  /** The tracked targets by id and generation, least recently polled first. */
  const trackedTargets = new Map<string, TrackedTarget>();
  const stopped = new AbortController();
  let timer: NodeJS.Timeout | undefined;

  const track = (
    router: routing.Router,
    candidates: () => readonly Candidate[],
    { id, generation }: routing.Candidate,
  ) => {
    const key = `${id}@${generation}`;
    const known = trackedTargets.get(key);
    if (known !== undefined) {
      known.sentAtMs = nowMs();
      return;
    }
    if (trackedTargets.size >= maxTrackedTargets) return;
    trackedTargets.set(key, {
      targetId: id,
      generation,
      router,
      candidates,
      since: 0,
      sentAtMs: nowMs(),
      backoffUntilMs: 0,
    });
  };

  const urlOf = ({ targetId, generation, candidates }: TrackedTarget): string | undefined =>
    candidates().find(
      (candidate) => candidate.id === targetId && candidate.generation === generation,
    )?.url;

  /** Returns the next target to poll and removes targets that are gone or idle. */
  const nextTarget = (): { readonly target: TrackedTarget; readonly url: string } | undefined => {
    for (const [key, target] of [...trackedTargets]) {
      const url = urlOf(target);
      trackedTargets.delete(key);
      if (url === undefined || nowMs() - target.sentAtMs > idleTimeoutMs) continue;
      trackedTargets.set(key, target);
      if (target.backoffUntilMs <= nowMs()) return { target, url };
    }
    return undefined;
  };

  const fetchEvents = async (url: string, since: number) => {
    const deadline = clocks.createDeadline(timeoutMs, [stopped.signal]);
    try {
      const sent = await targets.send({
        url,
        path: `/cache-events?since=${since}&limit=${maxEvents}`,
        method: 'GET',
        headers: {},
        body: null,
        signal: deadline.signal,
      });
      return sent.ok ? await readCacheEvents(sent.value, url, maxResponseBytes) : sent;
    } finally {
      deadline.release();
    }
  };

  const poll = async () => {
    const next = nextTarget();
    if (next === undefined) return;
    const { target, url } = next;
    const result = await fetchEvents(url, target.since);
    if (stopped.signal.aborted) return;
    if (!result.ok) {
      target.backoffUntilMs = nowMs() + failureBackoffMs;
      log.warn(
        { step: result.error.step, peer: url, groupId: target.targetId },
        `cache events of group "${target.targetId}" were ignored: ${result.error.message}`,
      );
      return;
    }
    target.since = Math.max(target.since, result.value.next);
    target.router.onCacheEvents(target.targetId, result.value.events, nowMs());
  };

  const gapMs = () => {
    const targetCount = Math.max(1, trackedTargets.size);
    const intervalMs = Math.max(
      minIntervalMs,
      minGapMs * targetCount,
      minGapMs * options.daemonCount(),
    );
    return (intervalMs / targetCount) * (minJitterFactor + jitterRange * random.fraction());
  };

  const schedule = () => {
    timer = setTimeout(() => {
      void poll()
        .catch((cause: unknown) =>
          log.error(
            { step: 'read cache events', cause: errors.describeCause(cause) },
            'poll failed',
          ),
        )
        .finally(() => {
          if (!stopped.signal.aborted) schedule();
        });
    }, gapMs()).unref();
  };

  return {
    trackDispatches: (router, candidates) => ({
      ...router,
      onDispatch: (candidate, request, atMs) => {
        track(router, candidates, candidate);
        router.onDispatch(candidate, request, atMs);
      },
    }),
    poll,
    start: schedule,
    stop: () => {
      stopped.abort();
      clearTimeout(timer);
    },
  };
};
