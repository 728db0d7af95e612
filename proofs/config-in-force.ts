/**
 * An accepted configuration is in force on every daemon within 7 s, and no daemon ever reverts to
 * an older one.
 */
import type * as testing from '@comfreydrum/testing';
import { createScenario } from './config-in-force/createScenario';
import * as steps from './config-in-force/steps';

export const prove: testing.Proof = async (context) => {
  const violations: string[] = [];
  const figures = new Map<string, number>();
  const scenario = await createScenario(context, violations, figures);
  try {
    for (const [name, step] of Object.entries({
      'wait until joined': steps.waitUntilJoined,
      'apply the first': steps.applyFirst,
      'race operators': steps.applyConcurrently,
      'lose answers': steps.loseAnswers,
      'cut off one': steps.isolateOneDaemon,
      'split regions': steps.partitionRegions,
      'endure an outage': steps.applyDuringOutage,
      'restart all': steps.restartAll,
    })) {
      context.note(name);
      await step(scenario);
    }
  } finally {
    await scenario.observer.stop();
    await scenario.fleet.stop();
  }
  return { violations, figures: Object.fromEntries(figures) };
};
