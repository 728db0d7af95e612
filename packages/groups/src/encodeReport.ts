import { lossReasons, type PresenceReport, type ReportRow } from './PresenceReport';
import { groupTagOf, tagLength, tagOf } from './tagOf';

/** The size of tags and ages in one part; with its key and sender the part must fit one message. */
const maxPartBytes = 400;
const bucketBytes = 10;
const maxInstanceCount = 40;
const bucketMs = 200;
/**
 * Older losses are reported at this age, which dates them later and thus gives them more weight.
 */
const maxLossAgeMs = 2_000;

interface Entry {
  readonly tag: string;
  readonly ageMs: number;
  /** The index of the reason, for a loss. */
  readonly reason?: number;
}

interface Part {
  readonly buckets: Map<string, Entry[]>;
  leftBytes: number;
}

const bucketOf = ({ ageMs, reason }: Entry): string =>
  `${reason ?? 'present'} ${Math.floor(ageMs / bucketMs)}`;

const entriesOf = ({ present, lost }: PresenceReport): readonly Entry[] => [
  ...lost.map(([groupId, generation, ageMs, reason]) => ({
    tag: groupTagOf(groupId, generation),
    ageMs: Math.min(maxLossAgeMs, Math.max(0, Math.floor(ageMs))),
    reason: lossReasons.indexOf(reason),
  })),
  ...present.map(([groupId, generation, ageMs]) => ({
    tag: groupTagOf(groupId, generation),
    // The sender's clock is rounded down, so 1 ms is added to keep evidence from seeming too recent.
    ageMs: Math.ceil(ageMs) + 1,
  })),
];

const divide = (entries: readonly Entry[], namedCount: number): readonly Part[] => {
  const newPart = (leftBytes: number): Part => ({ buckets: new Map(), leftBytes });
  const parts = [newPart(maxPartBytes - namedCount * tagLength)];
  entries.forEach((entry) => {
    const key = bucketOf(entry);
    const costIn = ({ buckets }: Part) => tagLength + (buckets.has(key) ? 0 : bucketBytes);
    if (parts.at(-1)!.leftBytes < costIn(parts.at(-1)!)) parts.push(newPart(maxPartBytes));
    const part = parts.at(-1)!;
    part.leftBytes -= costIn(part);
    part.buckets.set(key, [...(part.buckets.get(key) ?? []), entry]);
  });
  return parts;
};

const joinTags = (entries: readonly Entry[]): string => entries.map(({ tag }) => tag).join('');

const toRow = (
  report: PresenceReport,
  { buckets }: Part,
  absent: string,
  leaving: string,
): ReportRow => {
  const all = [...buckets.values()];
  const ages = (entries: readonly Entry[]) => entries.map(({ ageMs }) => ageMs);
  const present = all.filter(([first]) => first!.reason === undefined);
  const lost = all.filter(([first]) => first!.reason !== undefined);
  return [
    tagOf(report.sender),
    Math.floor(report.sentAtMs),
    present.map((entries) => [Math.max(...ages(entries)), joinTags(entries)]),
    lost.map((entries) => [entries[0]!.reason!, Math.min(...ages(entries)), joinTags(entries)]),
    absent,
    leaving,
  ];
};

/**
 * Encodes a report as parts that each fit one message.
 *
 * Groups of similar age share a bucket: complete groups get the age of the oldest, and losses the
 * age of the most recent. The first part lists at most 40 leaving and absent instances, with leaving
 * instances taking precedence.
 */
export const encodeReport = (report: PresenceReport): readonly ReportRow[] => {
  const leaving = report.leaving.slice(0, maxInstanceCount).map(tagOf);
  const absent = report.absent.slice(0, maxInstanceCount - leaving.length).map(tagOf);
  const parts = divide(entriesOf(report), leaving.length + absent.length);
  return parts.map((part, index) =>
    index === 0
      ? toRow(report, part, absent.join(''), leaving.join(''))
      : toRow(report, part, '', ''),
  );
};
