import type * as clock from '@comfreydrum/clock';
import type * as configuration from '@comfreydrum/configuration';
import type * as gateway from '@comfreydrum/gateway';
import type * as groups from '@comfreydrum/groups';
import type * as ledger from '@comfreydrum/ledger';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';
import type * as routing from '@comfreydrum/routing';
import type * as settings from '@comfreydrum/settings';
import type * as telemetry from '@comfreydrum/telemetry';
import type * as tsyringe from 'tsyringe';

/** Reports whether this daemon is ready to accept requests, and the reason if it is not. */
export type ReadinessCheck = () => { readonly ready: boolean; readonly reason: string };

/** Returns uniformly distributed random numbers from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

const createToken = <Value>(name: string): tsyringe.InjectionToken<Value> => Symbol(name);

/** Injection tokens of the components of the daemon. */
export const tokens = {
  settings: createToken<settings.Settings>('settings'),
  clock: createToken<clock.Clock>('clock'),
  hybridClock: createToken<clock.HybridClock>('hybridClock'),
  random: createToken<Random>('random'),
  log: createToken<telemetry.Log>('log'),
  metrics: createToken<telemetry.Metrics>('metrics'),
  timeline: createToken<telemetry.Timeline>('timeline'),
  platform: createToken<objectStore.BudgetedPlatformClient>('platform'),
  peers: createToken<peers.Peers>('peers'),
  configuration: createToken<configuration.ConfigurationManager>('configuration'),
  groups: createToken<groups.Groups>('groups'),
  ledger: createToken<ledger.LedgerComponent>('ledger'),
  hasher: createToken<routing.PrefixHasher>('hasher'),
  readiness: createToken<ReadinessCheck>('readiness'),
  gateway: createToken<gateway.Gateway>('gateway'),
  admin: createToken<lifecycle.Component>('admin'),
} as const;
