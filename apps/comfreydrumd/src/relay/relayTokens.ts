import type * as clock from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import type * as formation from '@comfreydrum/formation';
import type * as objectStore from '@comfreydrum/object-store';
import type * as operatorsPlatform from '@comfreydrum/operators-platform';
import type * as peers from '@comfreydrum/peers';
import type * as relay from '@comfreydrum/relay';
import type * as routing from '@comfreydrum/routing';
import type * as settings from '@comfreydrum/settings';
import type * as telemetry from '@comfreydrum/telemetry';
import type * as tsyringe from 'tsyringe';

const createToken = <Value>(name: string): tsyringe.InjectionToken<Value> => Symbol(name);

/** Injection tokens of the components of a relay daemon. */
export const relayTokens = {
  settings: createToken<settings.RelaySettings>('settings'),
  clock: createToken<clock.Clock>('clock'),
  log: createToken<telemetry.Log>('log'),
  metrics: createToken<telemetry.Metrics>('metrics'),
  runId: createToken<string>('run id'),
  hasher: createToken<routing.PrefixHasher>('hasher'),
  platform: createToken<operatorsPlatform.OperatorsPlatform>('platform'),
  store: createToken<objectStore.BudgetedPlatformClient>('store'),
  calls: createToken<peers.StandalonePeerCalls>('calls'),
  plan: createToken<fleet.PlanTracker>('plan'),
  targets: createToken<fleet.TargetList>('targets'),
  evacuations: createToken<fleet.EvacuationTracker>('evacuations'),
  lease: createToken<formation.Lease>('lease'),
  formation: createToken<formation.Formation>('formation'),
  relay: createToken<relay.Relay>('relay'),
};
