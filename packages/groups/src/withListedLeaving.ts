import type { Observe } from './judgeGroup';

/**
 * Wraps `observe` to mark an instance as leaving if the platform's target list does, whatever it
 * answers.
 */
export const withListedLeaving =
  (observe: Observe, isListedLeaving: (instanceId: string) => boolean): Observe =>
  (instanceId) => {
    const observation = observe(instanceId);
    if (!observation?.answer || !isListedLeaving(instanceId)) return observation;
    return { ...observation, answer: { ...observation.answer, leaving: true } };
  };
