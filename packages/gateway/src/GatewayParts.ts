import type * as lifecycle from '@comfreydrum/lifecycle';
import type * as routing from '@comfreydrum/routing';
import type * as targetClient from '@comfreydrum/target-client';
import type { CrashGuard } from './createCrashGuard';
import type { CustomerLimits } from './createCustomerLimits';
import type { InFlightAttempts } from './createInFlightAttempts';
import type { GatewayDependencies } from './GatewayDependencies';
import type { GatewayMetrics } from './createGatewayMetrics';
import type { Pools } from './createPools';
import type { RetryBudgets } from './createRetryBudgets';
import type { ServiceResponse } from './ServiceResponse';

/** The components that request handlers share. */
export interface GatewayParts {
  readonly dependencies: GatewayDependencies;
  readonly targets: targetClient.TargetClient;
  readonly inFlight: InFlightAttempts;
  readonly metrics: GatewayMetrics;
  readonly pools: Pools;
  readonly guard: CrashGuard;
  readonly customers: CustomerLimits;
  readonly retryBudgets: RetryBudgets;
  readonly lookups: routing.LookupCache<ServiceResponse>;
  /** The planned stop of the daemon. */
  readonly stopPeriod: lifecycle.DrainPeriod;
}
