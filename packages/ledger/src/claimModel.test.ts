import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { giveUpGrant } from './GrantState';
import { judgeHolder } from './judgeHolder';
import { initialState, nextStates, type ModelRules } from './testing/claimModel';
import { describeState, findBreach, type ModelState } from './testing/ClaimModelState';

const test = uvu.suite('claim model');

const rules: ModelRules = { judgeHolder, giveUpGrant, isConditional: true };

/** Explores all reachable states; stops at the first one that violates an invariant. */
const explore = (explored: ModelRules): { readonly breach?: string; readonly count: number } => {
  const seen = new Set<string>([describeState(initialState)]);
  const open: ModelState[] = [initialState];
  for (let state = open.pop(); state; state = open.pop()) {
    for (const candidate of nextStates(state, explored)) {
      const id = describeState(candidate);
      if (seen.has(id)) continue;
      seen.add(id);
      const breach = findBreach(candidate);
      if (breach) return { breach, count: seen.size };
      open.push(candidate);
    }
  }
  return { count: seen.size };
};

test('holds every invariant in every reachable state', () => {
  const { breach, count } = explore(rules);
  assert.is(breach, undefined);
  assert.is(count, 205_289);
});

test('detects a double run if a missing answer is treated as never dispatched', () => {
  const planted: ModelRules = {
    ...rules,
    judgeHolder: (word) => (word.kind === 'silent' ? 'supersede' : judgeHolder(word)),
  };
  assert.is(explore(planted).breach, 'the request ran twice');
});

test('detects a double run if a holder that left is treated as never dispatched', () => {
  const planted: ModelRules = {
    ...rules,
    judgeHolder: (word) => (word.kind === 'gone' ? 'supersede' : judgeHolder(word)),
  };
  assert.is(explore(planted).breach, 'the request ran twice');
});

test('detects a double run if updates are unconditional', () => {
  assert.is(explore({ ...rules, isConditional: false }).breach, 'the request ran twice');
});

test('detects a wrong not-run report if an abandoned claim can still be dispatched', () => {
  const planted: ModelRules = { ...rules, giveUpGrant: (state) => state };
  assert.is(explore(planted).breach, 'a request reported as not run has run');
});

test.run();
