import type * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type * as routing from '@comfreydrum/routing';
import type * as targetClient from '@comfreydrum/target-client';
import type * as telemetry from '@comfreydrum/telemetry';
import type { CallerWire } from './CallerRequest';
import type { CrashMonitor, EndedMember } from './crashes/createCrashMonitor';
import type { ProcessCheck } from './crashes/createProcessCheck';
import type { DemandCounter } from './demand/createDemandCounter';
import type { DurationEstimates } from './createDurationEstimates';
import type { RelayMetrics } from './createRelayMetrics';
import type { ServiceRetryBudgets } from './createServiceRetryBudgets';
import type { ByteBudget } from './memory/createByteBudget';
import type { StallMonitor } from './createStallMonitor';
import type { TargetLimits } from './limits/createTargetLimits';
import type { DispatchQueues } from './placing/createDispatchQueues';
import type { Placing } from './placing/createPlacing';
import type { TargetReach } from './reach/createTargetReach';
import type { TargetSignals } from './signals/createTargetSignals';
import type { TargetTracker } from './createTargetTracker';
import type { TargetDirectory } from './createTargetDirectory';
import type { TargetWire } from './TargetWire';

/** The result of probing the members of a group. */
export interface LossConfirmation {
  /** Whether a member does not respond. */
  readonly isLost: boolean;
  /** The members whose processes have ended. */
  readonly endedMembers: readonly EndedMember[];
}

/** Reports targets that fail requests and checks silent groups for lost members. */
export interface FailureReporter {
  /** Reports a target that may be lost to the component that replaces group members. */
  readonly suspect: (targetId: string) => void;
  /** Probes the members of a group that has been silent for `silentMs`. */
  readonly confirmLoss: (groupKey: string, silentMs: number) => Promise<LossConfirmation>;
}

/** The services that request handling depends on. */
export interface RelayDependencies {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly metrics: RelayMetrics;
  readonly plan: fleet.PlanTracker;
  readonly directory: TargetDirectory;
  readonly evacuations: fleet.Evacuations;
  readonly targetTracker: TargetTracker;
  readonly placing: Placing;
  readonly dispatchQueues: DispatchQueues;
  readonly stallMonitor: StallMonitor;
  readonly client: targetClient.TargetClient;
  /**
   * Client for requests that must not be retried. A target may close a keep-alive connection just as a request is
   * written to it, so each of these requests uses a new connection.
   */
  readonly singleUseClient: targetClient.TargetClient;
  readonly callerWire: CallerWire;
  readonly targetWire: TargetWire;
  readonly retryBudgets: ServiceRetryBudgets;
  readonly random: () => number;
  /** Keys are treated as revoked once the plan has not been confirmed as current for this long. */
  readonly keyValidityMs: number;
  /** A request is denied for good only by a plan that was confirmed as current within this time. */
  readonly denialValidityMs: number;
  readonly failureReporter: FailureReporter;
  readonly hasher: routing.PrefixHasher;
  readonly crashMonitor: CrashMonitor;
  readonly processCheck: ProcessCheck;
  readonly targetLimits: TargetLimits;
  readonly targetReach: TargetReach;
  readonly demandCounter: DemandCounter;
  readonly targetSignals: TargetSignals;
  /** The planned stop of the daemon. */
  readonly drain: lifecycle.DrainPeriod;
  readonly durations: DurationEstimates;
  /** Bounds the answers of targets in memory. */
  readonly answerBudget: ByteBudget;
  /** Bounds the request bodies in memory. */
  readonly bodyBudget: ByteBudget;
}
