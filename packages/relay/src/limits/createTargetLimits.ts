import type * as clocks from '@comfreydrum/clock';
import type * as peers from '@comfreydrum/peers';
import type * as telemetry from '@comfreydrum/telemetry';
import {
  createColdTargets,
  type ColdObservation,
  type ColdTargets,
  type ColdTargetOptions,
} from './createColdTargets';
import { createDaemonCounts } from './createDaemonCounts';
import { createLimitExchange, type LimitExchange } from './createLimitExchange';
import { createLimitTable, type LimitObservation } from './createLimitTable';
import { createSendPermits, type Scheduler, type SendPermits } from './createSendPermits';

/** How daemons share the limits of targets. */
export interface LimitOptions {
  readonly calls: peers.PeerCalls;
  /** Identifies this run of this daemon. */
  readonly runId: string;
  readonly scheduler: () => Scheduler;
  /** Called when there is news for the lease holder. */
  readonly checkInSoon: () => void;
}

/** The limits that targets name, and the permits to send requests to those targets. */
export interface TargetLimits {
  /** Returns the requests per second that a target names as its limit; undefined without one. */
  readonly limitOf: (targetKey: string) => number | undefined;
  /** Returns what a cold target may get from all daemons; undefined for any other. */
  readonly coldRateOf: ColdTargets['rateOf'];
  readonly coldCount: () => number;
  readonly onAnswer: (observation: LimitObservation & ColdObservation) => void;
  readonly permits: SendPermits;
  readonly exchange: LimitExchange;
  /** Records the number of daemons; called about once a second. */
  readonly sampleDaemonCount: () => void;
}

export interface TargetLimitsOptions extends LimitOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly random: () => number;
  readonly daemonCount: () => number;
  readonly cold: ColdTargetOptions;
}

/** Limits from this rate on are above what a target can reach and are not enforced. */
const maxEnforcedPerSecond = 1_000;
const maxLoggedKeys = 256;

/** Creates the limits of a daemon that has received no answer yet. */
export const createTargetLimits = (options: TargetLimitsOptions): TargetLimits => {
  const { log } = options;
  /** Targets whose invalid limit has been logged. */
  const reportedKeys = new Set<string>();

  const table = createLimitTable({
    clock: options.clock,
    onChange: (targetKey, perSecond) => {
      const text =
        perSecond === undefined ? 'the target names no limit' : 'the target names a limit';
      log.info({ step: 'limit', targetKey, perSecond }, text);
      options.checkInSoon();
    },
  });

  const reportInvalid = (targetKey: string, text: string) => {
    if (reportedKeys.has(targetKey) || reportedKeys.size >= maxLoggedKeys) return;
    reportedKeys.add(targetKey);
    log.warn({ step: 'limit', targetKey, text }, 'the limit is no decimal number; it is ignored');
  };

  const coldTargets = createColdTargets({ ...options.cold, clock: options.clock, log });
  const daemonCounts = createDaemonCounts(options);

  return {
    limitOf: (targetKey) => {
      const perSecond = table.limitOf(targetKey);
      return perSecond !== undefined && perSecond < maxEnforcedPerSecond ? perSecond : undefined;
    },
    coldRateOf: coldTargets.rateOf,
    coldCount: coldTargets.count,
    onAnswer: (observation) => {
      const { targetKey, named } = observation;
      if (named.kind === 'invalid') reportInvalid(targetKey, named.text);
      table.onAnswer(observation);
      coldTargets.onAnswer(observation);
    },
    permits: createSendPermits({ ...options, highestDaemonCount: daemonCounts.highest }),
    sampleDaemonCount: daemonCounts.sample,
    exchange: createLimitExchange({ table, runId: options.runId }),
  };
};
