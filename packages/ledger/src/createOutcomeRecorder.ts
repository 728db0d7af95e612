import type * as telemetry from '@comfreydrum/telemetry';
import type { GrantRegistry } from './createGrantRegistry';
import type { GrantOutcome } from './GrantState';
import type { FinishOperation, OperationResult } from './LedgerOperation';

/** Writes the outcomes of this daemon's claims; retries each until the ledger has recorded it. */
export interface OutcomeRecorder {
  readonly record: (operation: FinishOperation) => Promise<void>;
  readonly pendingCount: () => number;
  /** Waits up to `timeoutMs` until all outcomes are recorded, then stops retrying. */
  readonly stop: (timeoutMs: number) => Promise<void>;
}

export interface OutcomeRecorderOptions {
  readonly registry: GrantRegistry;
  readonly submit: (operation: FinishOperation) => Promise<OperationResult>;
  readonly firstRetryMs: number;
  readonly retryLimitMs: number;
  /** Returns a random number in [0, 1) for the jitter of retries. */
  readonly random: () => number;
  readonly log: telemetry.Log;
  readonly timeline: telemetry.Timeline;
}

const backoffFactor = 2;

const toGrantOutcome = ({ outcome, answer }: FinishOperation): GrantOutcome => {
  if (outcome === 'ran') return { kind: 'ran', answer };
  return outcome === 'unknown' ? { kind: 'unknown' } : { kind: 'never' };
};

/** Creates a recorder without pending outcomes. */
export const createOutcomeRecorder = (options: OutcomeRecorderOptions): OutcomeRecorder => {
  const pending = new Set<Promise<void>>();
  let isStopped = false;
  let signalStop = () => {};
  const stopSignal = new Promise<void>((resolve) => {
    signalStop = resolve;
  });

  const waitBeforeRetry = async (tries: number) => {
    const limitMs = Math.min(options.retryLimitMs, options.firstRetryMs * backoffFactor ** tries);
    let timer: NodeJS.Timeout | undefined;
    const elapsed = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, limitMs * (0.5 + options.random() / 2));
    });
    await Promise.race([elapsed, stopSignal]);
    clearTimeout(timer);
  };

  const write = async (operation: FinishOperation): Promise<void> => {
    for (let tries = 0; !isStopped; tries += 1) {
      const result = await options.submit(operation);
      if (result.kind === 'recorded' || result.kind === 'superseded') {
        options.registry.remove(operation.claimId);
        const { claimId, outcome, keyId } = operation;
        options.timeline.record('ledger.outcome', { outcome: `${outcome} ${result.kind}` });
        if (result.kind === 'superseded' && outcome !== 'not-run') {
          options.log.error(
            { claimId, outcome, keyId },
            'the key already belongs to another claim',
          );
        }
        return;
      }
      await waitBeforeRetry(tries);
    }
  };

  return {
    record: (operation) => {
      options.registry.end(operation.claimId, toGrantOutcome(operation));
      const writing = write(operation).finally(() => pending.delete(writing));
      pending.add(writing);
      return writing;
    },
    pendingCount: () => pending.size,
    stop: async (timeoutMs) => {
      let timer: NodeJS.Timeout | undefined;
      const limit = new Promise<void>((resolve) => {
        timer = setTimeout(resolve, timeoutMs);
      });
      await Promise.race([Promise.allSettled(pending), limit]);
      clearTimeout(timer);
      isStopped = true;
      signalStop();
    },
  };
};
