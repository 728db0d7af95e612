import { createListeners } from './createListeners';
import type { MembershipWithDead, PeerMember } from './Membership';
import type { MemberRecord } from './MemberRecord';
import type { PeerState } from './createPeerState';
import type { PeersOptions } from './Peers';

const toPeerMember = ({ refutation, ...member }: MemberRecord): PeerMember => member;

const byId = (left: MemberRecord, right: MemberRecord) =>
  left.instanceId < right.instanceId ? -1 : 1;

/** Creates the public view of the member table. */
export const createMembership = (state: PeerState, options: PeersOptions): MembershipWithDead => {
  const onChange = createListeners<void>((cause) =>
    options.log.error({ err: cause }, 'membership listener failed'),
  );
  let members: readonly PeerMember[] | undefined;
  let notificationPending = false;

  state.onMember.add((record) => {
    members = undefined;
    options.timeline.record(`member ${record.state}`, { peer: record.instanceId });
    options.log.info({ peer: record.instanceId, state: record.state }, 'member state changed');
    if (notificationPending) return;
    notificationPending = true;
    queueMicrotask(() => {
      notificationPending = false;
      onChange.call();
    });
  });

  return {
    self: () => toPeerMember(state.table.self()),
    members: () => {
      members ??= state.table
        .records()
        .filter((record) => record.state !== 'dead')
        .sort(byId)
        .map(toPeerMember);
      return members;
    },
    dead: () =>
      state.table
        .records()
        .filter((record) => record.state === 'dead')
        .map(toPeerMember),
    onChange: onChange.add,
    leave: state.table.leave,
  };
};
