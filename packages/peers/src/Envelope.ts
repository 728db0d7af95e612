import * as zod from 'zod';
import { memberRowSchema, type MemberRow } from './MemberRecord';
import { messageRowSchema } from './MessageRecord';

const maxRowCount = 64;
const maxFleetLength = 64;

/**
 * The short form of a sender, for a receiver that holds its member row: id, digest of the fields that
 * are constant during a run of the process, state, refutation.
 */
export const shortSenderSchema = zod.tuple([
  zod.string().min(1).max(maxFleetLength),
  zod.number().int().nonnegative(),
  memberRowSchema.def.items[4],
  memberRowSchema.def.items[6],
]);

export type ShortSender = zod.infer<typeof shortSenderSchema>;

/** The payload of every datagram: fleet, sender, hybrid time, members, messages, beacon. */
export const envelopeSchema = zod.tuple([
  zod.string().max(maxFleetLength),
  zod.union([shortSenderSchema, memberRowSchema]),
  zod.tuple([zod.number().int().nonnegative(), zod.number().int().nonnegative()]),
  zod.array(memberRowSchema).max(maxRowCount),
  zod.array(messageRowSchema).max(maxRowCount),
  zod.unknown(),
]);

/** An envelope in its wire format. */
export type Envelope = zod.infer<typeof envelopeSchema>;

/** An envelope with the full member row of its sender. */
export type ResolvedEnvelope = [
  fleet: string,
  sender: MemberRow,
  time: Envelope[2],
  members: Envelope[3],
  news: Envelope[4],
  beacon: unknown,
];

/** The parameters of an indirect probe: the envelope and the address to probe. */
export const indirectProbeSchema = zod.tuple([envelopeSchema, zod.string().max(maxFleetLength)]);
