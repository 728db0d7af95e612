/** A parsed line of the log of a daemon. */
export interface LogLine {
  readonly timeMs: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Lines about a group or target that are further away in time from the matching lines are unrelated. */
const relatedWindowMs = 10_000;
/** Fields that are on every line or are printed in a fixed place, and are therefore left out of the details. */
const nonDetailFields: ReadonlySet<string> = new Set([
  'level',
  'time',
  'instanceId',
  'part',
  'step',
  'msg',
  'requestId',
]);

/** Reads the JSON objects of a log, one per line. Text before the object on a line is skipped. */
export const readLogLines = (text: string): readonly LogLine[] =>
  text.split('\n').flatMap((line) => {
    const start = line.indexOf('{');
    if (start === -1) return [];
    try {
      const fields = JSON.parse(line.slice(start)) as Record<string, unknown>;
      const timeMs = Date.parse(String(fields.time));
      return Number.isNaN(timeMs) ? [] : [{ timeMs, fields }];
    } catch {
      // The line was truncated when its process was killed.
      return [];
    }
  });

const collectNames = (lines: readonly LogLine[]): ReadonlySet<unknown> =>
  new Set(
    lines
      .flatMap(({ fields }) => [fields.targetId, fields.group, fields.groupName])
      .filter((name) => name !== undefined),
  );

const formatLine = ({ fields }: LogLine): string => {
  const details = Object.entries(fields)
    .filter(([name]) => !nonDetailFields.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  const { time, instanceId, step, msg } = fields;
  return [String(time), String(instanceId), String(step), String(msg), ...details].join('  ');
};

/**
 * Returns the log lines of several daemons about one request, fingerprint, part of prompts, group or target, in time
 * order: the
 * lines that name it, and lines about the groups and targets named there that are at most `relatedWindowMs`
 * earlier or later and belong to no other request.
 */
export const explainFromLogs = (id: string, lines: readonly LogLine[]): readonly string[] => {
  const matchingLines = lines.filter(({ fields }) =>
    [
      fields.requestId,
      fields.fingerprint,
      ...(Array.isArray(fields.fingerprints) ? fields.fingerprints : []),
      fields.partId,
      ...(Array.isArray(fields.sharedPartIds) ? fields.sharedPartIds : []),
      fields.targetId,
      fields.group,
      fields.groupName,
    ].includes(id),
  );
  if (matchingLines.length === 0) return [];
  const names = collectNames(matchingLines);
  const groupNames = new Set([...names].map((name) => String(name).split('@')[0]));
  const firstMs = Math.min(...matchingLines.map(({ timeMs }) => timeMs)) - relatedWindowMs;
  const lastMs = Math.max(...matchingLines.map(({ timeMs }) => timeMs)) + relatedWindowMs;
  const relatedLines = lines.filter(({ timeMs, fields }) => {
    if (fields.requestId !== undefined || timeMs < firstMs || timeMs > lastMs) return false;
    return names.has(fields.targetId) || groupNames.has(String(fields.groupName));
  });
  return [...new Set([...matchingLines, ...relatedLines])]
    .sort((one, other) => one.timeMs - other.timeMs)
    .map(formatLine);
};
