import type { MemberTable } from './createMemberTable';
import type { Envelope, ShortSender } from './Envelope';
import { toMemberRow, type MemberRow } from './MemberRecord';

/**
 * Encodes the sender of datagrams. Members that hold the member row of this daemon receive its short
 * form, all others the whole row.
 */
export interface SenderCodec {
  /** Records a response of a member, which therefore holds the row sent in the request. */
  readonly recordResponse: (instanceId: string) => void;
  /** Records that a member did not respond and may no longer hold the row. */
  readonly recordTimeout: (instanceId: string) => void;
  /** Returns the sender field of a datagram to a member, or to an address whose member is unknown. */
  readonly encode: (instanceId: string | undefined) => Envelope[1];
  /** Returns the row of a sender; undefined if it has the short form and its row is not held here. */
  readonly decode: (sender: Envelope[1]) => MemberRow | undefined;
}

const isShort = (sender: Envelope[1]): sender is ShortSender => sender.length === 4;

/** Creates an encoder that sends the whole row to every member until it responds. */
export const createSenderCodec = (
  table: MemberTable,
  hash: (text: string) => number,
): SenderCodec => {
  /** The incarnations of this daemon and of the member at its last response, by instance id. */
  const respondedIncarnations = new Map<string, string>();

  const incarnations = (instanceId: string) => {
    const member = table.find(instanceId);
    return member && `${table.self().incarnation} ${member.incarnation}`;
  };

  /** Returns a digest of the fields that are constant during a run of the process. */
  const digest = ([instanceId, address, region, failureDomain, , incarnation]: MemberRow) =>
    hash([instanceId, address, region, failureDomain, incarnation].join(' '));

  const holdsRow = (instanceId: string) => {
    const answered = respondedIncarnations.get(instanceId);
    return answered !== undefined && answered === incarnations(instanceId);
  };

  return {
    recordResponse: (instanceId) => {
      const pair = incarnations(instanceId);
      if (pair !== undefined) respondedIncarnations.set(instanceId, pair);
    },
    recordTimeout: (instanceId) => respondedIncarnations.delete(instanceId),
    encode: (instanceId) => {
      const row = toMemberRow(table.self());
      if (instanceId === undefined || !holdsRow(instanceId)) return row;
      return [row[0], digest(row), row[4], row[6]];
    },
    decode: (sender) => {
      if (!isShort(sender)) return sender;
      const [instanceId, ownDigest, state, refutation] = sender;
      const record = table.find(instanceId);
      if (!record) return undefined;
      const [, address, region, failureDomain, , incarnation] = toMemberRow(record);
      const row: MemberRow = [
        instanceId,
        address,
        region,
        failureDomain,
        state,
        incarnation,
        refutation,
      ];
      return digest(row) === ownDigest ? row : undefined;
    },
  };
};
