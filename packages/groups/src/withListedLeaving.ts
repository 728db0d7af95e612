import type { ObservationLookup } from './evaluateGroup';

/**
 * Wraps `observe` to mark an instance as leaving if the platform's target list does, whatever its
 * own response says.
 */
export const withListedLeaving =
  (
    observe: ObservationLookup,
    isListedLeaving: (instanceId: string) => boolean,
  ): ObservationLookup =>
  (instanceId) => {
    const observation = observe(instanceId);
    if (!observation?.response || !isListedLeaving(instanceId)) return observation;
    return { ...observation, response: { ...observation.response, leaving: true } };
  };
