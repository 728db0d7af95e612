import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as fleet from './index';

const test = uvu.suite('routes and groups');

const route = (name: string, host: string, pathPrefix: string) =>
  ({ name, host, pathPrefix }) as fleet.Route;

test('finds the route of the host with the longest matching prefix', () => {
  const plan = {
    routes: [route('all', 'h', '/'), route('long', 'h', '/a/b/'), route('other', 'g', '/a/b/c/')],
  } as unknown as fleet.TrafficPlan;
  const find = (host: string, path: string) => fleet.findRoute(plan, host, path)?.name;
  assert.is(find('h', '/a/b/c/d'), 'long');
  assert.is(find('h', '/a/b'), 'all');
  assert.is(find('g', '/a/b/'), undefined);
});

const member = (id: string, rank: number, epoch = 1): fleet.Target =>
  ({
    id,
    startedAtMs: 5,
    membership: {
      groupName: fleet.formatGroupName('draft.v2', 1),
      epoch,
      rank,
      state: rank === 0 ? 'open' : 'ready',
    },
  }) as fleet.Target;

test('groups targets by group name and epoch, with the head first', () => {
  const groups = fleet.groupsOf([member('b', 1), member('a', 0), member('c', 0, 2)]);
  assert.is(groups.length, 2);
  const [first] = groups;
  assert.equal(
    first?.members.map(({ id }) => id),
    ['a', 'b'],
  );
  assert.is(first?.head?.id, 'a');
  assert.is(first?.modelName, 'draft.v2');
});

test('returns different keys for different runs of one target', () => {
  assert.is.not(
    fleet.runKeyOf({ id: 'a', startedAtMs: 1 }),
    fleet.runKeyOf({ id: 'a', startedAtMs: 2 }),
  );
});

test.run();
