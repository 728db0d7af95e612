import type * as tsyringe from 'tsyringe';
import { tokens, type ReadinessCheck } from './tokens';

/** Creates the readiness check: a configuration must be in force and confirmed to be fresh. */
export const createReadinessCheck = (container: tsyringe.DependencyContainer): ReadinessCheck => {
  const clock = container.resolve(tokens.clock);
  const configuration = container.resolve(tokens.configuration);
  return () => {
    if (configuration.current().length === 0) {
      return { ready: false, reason: 'no configuration is in force' };
    }
    const freshness = configuration.freshness(clock.monotonicMs());
    if (freshness.kind === 'fresh') return { ready: true, reason: 'ready' };
    return { ready: false, reason: 'the configuration is not proved fresh' };
  };
};
