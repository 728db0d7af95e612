import type * as fleet from '@comfreydrum/fleet';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { evaluateGroup, type GroupContext } from './evaluateGroup';

const test = uvu.suite('condition of groups with a silent member');

const memberOf = (id: string, rank: number, state: fleet.MembershipState) =>
  ({
    id,
    startedAtMs: 1,
    state: 'live',
    membership: { groupName: 'draft.1', epoch: 1, rank, state },
  }) as fleet.GroupMember;

const evaluate = (
  headState: fleet.MembershipState,
  facts: {
    readonly silent: readonly string[];
    readonly ended: readonly string[];
    readonly isFinishing?: boolean;
  },
) => {
  const members = [memberOf('head', 0, headState), memberOf('other', 1, 'ready')];
  const group = {
    key: 'draft.1@1',
    name: 'draft.1',
    epoch: 1,
    modelName: 'draft',
    head: members[0],
    members,
  } as fleet.Group;
  const context: GroupContext = {
    groupSize: 2,
    isLost: ({ id }) => [...facts.silent, ...facts.ended].includes(id),
    isSurelyLost: ({ id }) => facts.ended.includes(id),
    isFinishing: () => facts.isFinishing ?? false,
    hasHeadLeft: () => false,
    isHeadGone: () => true,
    isForming: () => false,
    mayOpen: () => true,
    mayBeOpening: () => false,
  };
  return evaluateGroup(group, context);
};

test('sheds no work for a member that is only silent', () => {
  const condition = evaluate('open', { silent: ['other'], ended: [] });
  assert.equal(condition, { kind: 'must-close', isMemberGone: true, shedsWork: false });
});

test('sheds the work once a member surely is lost', () => {
  const condition = evaluate('open', { silent: [], ended: ['other'] });
  assert.equal(condition, { kind: 'must-close', isMemberGone: true, shedsWork: true });
  const closing = { silent: [], ended: ['other'], isFinishing: true };
  assert.equal(evaluate('closing', closing), { kind: 'must-shed' });
  assert.equal(evaluate('closing', { ...closing, isFinishing: false }), { kind: 'closing' });
});

test('releases no member while the head is only silent', () => {
  assert.equal(evaluate('open', { silent: ['head'], ended: [] }), { kind: 'orphaned' });
  assert.equal(evaluate('open', { silent: [], ended: ['head'] }), { kind: 'abandoned' });
});

test.run();
