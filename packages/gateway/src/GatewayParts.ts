import type * as routing from '@comfreydrum/routing';
import type * as targetClient from '@comfreydrum/target-client';
import type { CrashGuard } from './createCrashGuard';
import type { CustomerShares } from './createCustomerShares';
import type { InFlight } from './createInFlight';
import type { GatewayDependencies } from './GatewayDependencies';
import type { GatewayMetrics } from './createGatewayMetrics';
import type { Pools } from './createPools';
import type { RetryBudgets } from './createRetryBudgets';
import type { ServiceAnswer } from './ServiceAnswer';

/** The components that request handlers share. */
export interface GatewayParts {
  readonly dependencies: GatewayDependencies;
  readonly targets: targetClient.TargetClient;
  readonly inFlight: InFlight;
  readonly metrics: GatewayMetrics;
  readonly pools: Pools;
  readonly guard: CrashGuard;
  readonly customers: CustomerShares;
  readonly retries: RetryBudgets;
  readonly lookups: routing.LookupCache<ServiceAnswer>;
}
