import * as errors from '@comfreydrum/errors';
import * as fleet from '@comfreydrum/fleet';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { confirmMembers } from './confirmMembers';
import { reportOf } from './testing/reportOf';
import type { ProbeFailure, TargetOrders, TargetReport } from './TargetOrders';

const test = uvu.suite('confirmation of the members of a group to be formed');

const membershipOf = (
  epoch: number,
  rank: number,
  state: fleet.MembershipState,
): fleet.GroupMembership => ({ groupName: `draft.${epoch}`, epoch, rank, state });

/** Confirms a target that gives these reports one after the other, the last one again and again. */
const confirm = async (
  listed: fleet.GroupMembership | undefined,
  ...reports: readonly (Partial<TargetReport> | undefined)[]
) => {
  let count = 0;
  const nextReport = () => {
    count += 1;
    return reports[Math.min(count, reports.length) - 1];
  };
  const target = { id: 'm1', startedAtMs: 1, membership: listed } as fleet.Target;
  const { confirmed, unconfirmed } = await confirmMembers(
    {
      probe: async ({ id }) => {
        const report = nextReport();
        if (report === undefined) {
          return errors.err<ProbeFailure>({
            kind: 'silent',
            step: 'probe',
            peer: id,
            message: 'silent',
          });
        }
        return errors.ok(reportOf(id, { orderCount: 3, ...report }));
      },
    },
    [target],
    () => undefined,
  );
  return { orderCounts: confirmed.map(({ orderCount }) => orderCount), unconfirmed };
};

const isConfirmed = async (...args: Parameters<typeof confirm>) => {
  const { orderCounts, unconfirmed } = await confirm(...args);
  assert.is(orderCounts.length + unconfirmed.length, 1);
  return orderCounts.length === 1;
};

test('passes targets on whose reports agree with the list, with their order counts', async () => {
  assert.equal(await confirm(undefined, {}), { orderCounts: [3], unconfirmed: [] });
  const membership = membershipOf(4, 1, 'ready');
  assert.ok(await isConfirmed(membership, { membership }));
  assert.ok(await isConfirmed(membership, { membership: membershipOf(4, 1, 'broken') }));
});

test('holds back targets that are in another group than the list shows', async () => {
  const listed = membershipOf(4, 1, 'ready');
  assert.not(await isConfirmed(undefined, { membership: listed }));
  assert.not(await isConfirmed(listed, { membership: membershipOf(5, 1, 'ready') }));
  assert.not(await isConfirmed(listed, { membership: undefined }));
});

test('holds back heads that serve, whatever the list shows', async () => {
  const listed = membershipOf(4, 0, 'ready');
  assert.not(await isConfirmed(listed, { membership: membershipOf(4, 0, 'open') }));
  assert.not(await isConfirmed(undefined, { membership: membershipOf(4, 0, 'closing') }));
  const open = membershipOf(4, 0, 'open');
  assert.not(await isConfirmed(open, { membership: membershipOf(4, 0, 'closing') }));
});

test('passes heads on that are listed as ready after they have closed', async () => {
  const listed = membershipOf(4, 0, 'ready');
  assert.ok(await isConfirmed(listed, { membership: membershipOf(4, 0, 'closing') }));
});

test('asks again where a report may be older than the list', async () => {
  const listed = membershipOf(4, 0, 'ready');
  const joined = { membership: membershipOf(3, 0, 'ready') };
  const ready = { membership: listed, orderCount: 5 };
  assert.equal(await confirm(listed, joined, joined, ready), {
    orderCounts: [5],
    unconfirmed: [],
  });
});

test('holds back targets that give no report or have restarted', async () => {
  const { unconfirmed } = await confirm(undefined, undefined);
  assert.equal(
    unconfirmed.map(({ isSilent }) => isSilent),
    [true],
  );
  assert.not(await isConfirmed(undefined, { startedAtMs: 2 }));
});

// Guards against members of a group whose head an old entry shows in no group, while it serves.
test('holds back members of a group whose head reports that it serves', async () => {
  const m1 = { id: 'm1', startedAtMs: 1, membership: membershipOf(4, 1, 'ready') } as fleet.Target;
  const head = { id: 'h1', startedAtMs: 1, membership: undefined } as unknown as fleet.Target;
  const confirmBeside = async (headReport: Partial<TargetReport> | undefined) => {
    const probe: TargetOrders['probe'] = async ({ id }) =>
      id === head.id && headReport === undefined
        ? errors.err<ProbeFailure>({ kind: 'silent', step: 'probe', peer: id, message: 'silent' })
        : errors.ok(
            reportOf(id, { membership: m1.membership, ...(id === head.id ? headReport : {}) }),
          );
    const { confirmed } = await confirmMembers({ probe }, [m1], (groupKey) =>
      groupKey === fleet.groupKeyOf(m1.membership!) ? head : undefined,
    );
    return confirmed.length === 1;
  };
  assert.not(await confirmBeside({ membership: membershipOf(4, 0, 'open') }));
  assert.not(await confirmBeside({ membership: membershipOf(4, 0, 'closing') }));
  assert.ok(await confirmBeside({ membership: membershipOf(4, 0, 'broken') }));
  assert.ok(await confirmBeside({ membership: membershipOf(5, 0, 'open') }));
  assert.ok(await confirmBeside({ membership: undefined }));
  assert.ok(await confirmBeside({ startedAtMs: 2, membership: membershipOf(4, 0, 'open') }));
  assert.ok(await confirmBeside(undefined), 'a silent head is for the head check to judge');
});

test.run();
