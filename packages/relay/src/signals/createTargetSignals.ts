import type * as clocks from '@comfreydrum/clock';
import type * as telemetry from '@comfreydrum/telemetry';
import type { ResponseMetadata } from '../TargetWire';
import { createLeavingExchange, type LeavingExchange } from './createLeavingExchange';
import { createLeavingTable, type LeavingSource } from './createLeavingTable';

/** How a daemon treats what targets say about themselves. */
export interface SignalOptions {
  /** Identifies this run of this daemon. */
  readonly runId: string;
  /** Whether a target that says it is leaving is sent nothing more. */
  readonly heedsLeaving: boolean;
}

/** Why a target may be sent nothing now. */
export type Hold = 'leaving' | 'paused';

/** What targets have said in their answers: that they are leaving, and for how long they want no requests. */
export interface TargetSignals {
  /** Records the head of an answer of a run of a target, whatever request it answers. */
  readonly onAnswer: (
    targetKey: string,
    metadata: Pick<ResponseMetadata, 'isLeaving' | 'retryAfterMs'>,
  ) => void;
  /** Returns why a run of a target may be sent nothing now; undefined if it may. */
  readonly holdOf: (targetKey: string) => Hold | undefined;
  readonly isLeaving: (targetKey: string) => boolean;
  /** Returns until when a target wants nothing from this daemon; undefined if it has not said so. */
  readonly pausedUntilMs: (targetKey: string) => number | undefined;
  readonly exchange: LeavingExchange;
}

export interface TargetSignalsOptions extends SignalOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  /** Counts signals by their kind and source. */
  readonly received: telemetry.Counter;
}

/** Creates the signals of a daemon that has received no answer yet. */
export const createTargetSignals = (options: TargetSignalsOptions): TargetSignals => {
  const { clock, log, received } = options;
  const leaving = createLeavingTable();
  const pauses = new Map<string, number>();

  const addLeaving = (targetKey: string, source: LeavingSource) => {
    if (!options.heedsLeaving || !leaving.add(targetKey, source, clock.monotonicMs())) return;
    received.add({ signal: 'leaving', source });
    log.info({ step: 'signal', targetKey, source }, 'the target says that it is leaving');
  };

  const addPause = (targetKey: string, retryAfterMs: number) => {
    const nowMs = clock.monotonicMs();
    const knownUntilMs = pauses.get(targetKey) ?? -Infinity;
    received.add({ signal: 'pause', source: 'own' });
    if (knownUntilMs <= nowMs) {
      pauses.forEach((untilMs, key) => {
        if (untilMs <= nowMs) pauses.delete(key);
      });
      const fields = { step: 'signal', targetKey, retryAfterMs };
      log.info(fields, 'the target wants no requests from this daemon for a while');
    }
    pauses.set(targetKey, Math.max(knownUntilMs, nowMs + retryAfterMs));
  };

  const isPaused = (targetKey: string) =>
    (pauses.get(targetKey) ?? -Infinity) > clock.monotonicMs();

  return {
    onAnswer: (targetKey, { isLeaving = false, retryAfterMs }) => {
      if (isLeaving) addLeaving(targetKey, 'own');
      if (retryAfterMs !== undefined) addPause(targetKey, retryAfterMs);
    },
    holdOf: (targetKey) => {
      if (leaving.has(targetKey)) return 'leaving';
      return isPaused(targetKey) ? 'paused' : undefined;
    },
    isLeaving: leaving.has,
    pausedUntilMs: (targetKey) => pauses.get(targetKey),
    exchange: createLeavingExchange({
      clock,
      table: leaving,
      runId: options.runId,
      onShared: (targetKeys) => targetKeys.forEach((key) => addLeaving(key, 'shared')),
    }),
  };
};
