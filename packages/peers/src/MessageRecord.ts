import * as zod from 'zod';
import type { BusMessage, MessageTopic } from './MessageBus';

/** A message, as daemons exchange it. */
export type MessageRecord = BusMessage;

const topics: readonly MessageTopic[] = ['revision', 'ledger', 'quarantine', 'presence', 'demand'];
const maxKeyLength = 256;

/** The wire format of a record: its fields in a fixed order, the topic as its index. */
export const messageRowSchema = zod.tuple([
  zod
    .number()
    .int()
    .min(0)
    .max(topics.length - 1),
  zod.string().max(maxKeyLength),
  zod.string().min(1).max(64),
  zod.number().int().nonnegative(),
  zod.unknown(),
  zod.number().int().positive(),
]);

export type MessageRow = zod.infer<typeof messageRowSchema>;

/** Converts a record to its wire format. */
export const toMessageRow = (record: MessageRecord): MessageRow => [
  topics.indexOf(record.topic),
  record.key,
  record.origin,
  record.sequence,
  record.value,
  Math.max(1, Math.round(record.remainingMs)),
];

/** Converts a validated row to a record. */
export const toMessageRecord = (row: MessageRow): MessageRecord => ({
  topic: topics[row[0]]!,
  key: row[1],
  origin: row[2],
  sequence: row[3],
  value: row[4],
  remainingMs: row[5],
});
