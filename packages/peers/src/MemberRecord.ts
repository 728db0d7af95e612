import * as zod from 'zod';

export type MemberState = 'live' | 'suspect' | 'leaving' | 'dead';

/** The state of one member, as daemons exchange it. */
export interface MemberRecord {
  readonly instanceId: string;
  readonly address: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly state: MemberState;
  /** A ULID created at the start of the process; a later start supersedes an earlier one. */
  readonly incarnation: string;
  /** Incremented by the member itself to refute a suspicion; the record with the higher one wins. */
  readonly refutation: number;
}

const states: readonly MemberState[] = ['live', 'suspect', 'leaving', 'dead'];
const maxNameLength = 64;
const shortText = zod.string().min(1).max(maxNameLength);

/** The wire format of a record: its fields in a fixed order, the state as its index. */
export const memberRowSchema = zod.tuple([
  shortText,
  shortText,
  shortText,
  shortText,
  zod
    .number()
    .int()
    .min(0)
    .max(states.length - 1),
  shortText,
  zod.number().int().nonnegative(),
]);

export type MemberRow = zod.infer<typeof memberRowSchema>;

/** Converts a record to its wire format. */
export const toMemberRow = (record: MemberRecord): MemberRow => [
  record.instanceId,
  record.address,
  record.region,
  record.failureDomain,
  states.indexOf(record.state),
  record.incarnation,
  record.refutation,
];

/** Converts a validated row to a record. */
export const toMemberRecord = (row: MemberRow): MemberRecord => ({
  instanceId: row[0],
  address: row[1],
  region: row[2],
  failureDomain: row[3],
  state: states[row[4]]!,
  incarnation: row[5],
  refutation: row[6],
});

/** Reports whether `next` is a newer record of a member than `known`. */
export const supersedes = (next: MemberRecord, known: MemberRecord): boolean => {
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation;
  if (next.refutation !== known.refutation) return next.refutation > known.refutation;
  return states.indexOf(next.state) > states.indexOf(known.state);
};
