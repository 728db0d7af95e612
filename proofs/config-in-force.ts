/**
 * An accepted configuration is in force on every daemon within 7 s, and no daemon ever reverts to
 * an older one.
 */
import type * as testing from '@comfreydrum/testing';
import { createScene } from './config-in-force/createScene';
import * as steps from './config-in-force/steps';

export const prove: testing.Proof = async (context) => {
  const violations: string[] = [];
  const figures = new Map<string, number>();
  const scenario = await createScene(context, violations, figures);
  try {
    for (const [name, step] of Object.entries({
      'wait until joined': steps.untilJoined,
      'apply the first': steps.applyFirst,
      'race operators': steps.raceOperators,
      'lose answers': steps.loseAnswers,
      'cut off one': steps.cutOffOne,
      'split regions': steps.splitRegions,
      'endure an outage': steps.endureOutage,
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
