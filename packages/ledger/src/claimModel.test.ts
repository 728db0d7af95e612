import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { abandonGrant } from './GrantState';
import { chooseHolderAction } from './chooseHolderAction';
import { initialState, nextStates, type ModelRules } from './testing/claimModel';
import { describeState, findViolation, type ModelState } from './testing/ClaimModelState';

const test = uvu.suite('claim model');

const rules: ModelRules = {
  chooseHolderAction,
  abandonGrant,
  isConditional: true,
};

/** Explores all reachable states; stops at the first one that violates an invariant. */
const explore = (explored: ModelRules): { readonly violation?: string; readonly count: number } => {
  const seen = new Set<string>([describeState(initialState)]);
  const open: ModelState[] = [initialState];
  for (let state = open.pop(); state; state = open.pop()) {
    for (const candidate of nextStates(state, explored)) {
      const id = describeState(candidate);
      if (seen.has(id)) continue;
      seen.add(id);
      const violation = findViolation(candidate);
      if (violation) return { violation, count: seen.size };
      open.push(candidate);
    }
  }
  return { count: seen.size };
};

test('holds every invariant in every reachable state', () => {
  const { violation, count } = explore(rules);
  assert.is(violation, undefined);
  assert.is(count, 205_289);
});

test('detects a double run if a missing response is treated as never dispatched', () => {
  const faultyRules: ModelRules = {
    ...rules,
    chooseHolderAction: (status) =>
      status.kind === 'silent' ? 'supersede' : chooseHolderAction(status),
  };
  assert.is(explore(faultyRules).violation, 'the request ran twice');
});

test('detects a double run if a holder that left is treated as never dispatched', () => {
  const faultyRules: ModelRules = {
    ...rules,
    chooseHolderAction: (status) =>
      status.kind === 'gone' ? 'supersede' : chooseHolderAction(status),
  };
  assert.is(explore(faultyRules).violation, 'the request ran twice');
});

test('detects a double run if updates are unconditional', () => {
  assert.is(explore({ ...rules, isConditional: false }).violation, 'the request ran twice');
});

test('detects a wrong not-run report if an abandoned claim can still be dispatched', () => {
  const faultyRules: ModelRules = { ...rules, abandonGrant: (state) => state };
  assert.is(explore(faultyRules).violation, 'a request reported as not run has run');
});

test.run();
