import type * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import type * as routing from '@comfreydrum/routing';
import type * as targetClient from '@comfreydrum/target-client';
import type * as telemetry from '@comfreydrum/telemetry';
import type { CallerWire } from './CallerRequest';
import type { RelayMetrics } from './createRelayMetrics';
import type { SilenceWatch } from './createSilenceWatch';
import type { TargetBoard } from './createTargetBoard';
import type { TargetDirectory } from './createTargetDirectory';
import type { TargetWire } from './TargetWire';

/** Finds out about targets that requests show to be failing. */
export interface Suspicions {
  /** Tells whoever mends groups that a target seems to be lost. */
  readonly suspect: (targetId: string) => void;
  /** Asks the members of a silent group; true when one does not answer. */
  readonly confirmLoss: (groupKey: string) => Promise<boolean>;
}

/** Everything that serving a request uses. */
export interface RelayParts {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly metrics: RelayMetrics;
  readonly plan: fleet.PlanKeeper;
  readonly directory: TargetDirectory;
  readonly board: TargetBoard;
  readonly silence: SilenceWatch;
  readonly client: targetClient.TargetClient;
  /** For requests that may not be repeated: on a kept connection the target may close as they are sent. */
  readonly freshClient: targetClient.TargetClient;
  readonly callerWire: CallerWire;
  readonly targetWire: TargetWire;
  readonly retries: routing.RetryBudget;
  readonly random: () => number;
  /** After this long without proof that the plan is in force, keys are taken for revoked. */
  readonly keyValidityMs: number;
  readonly suspicions: Suspicions;
}
