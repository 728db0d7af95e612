/** One line of a daemon's log, as far as it is needed to tell a story. */
export interface LogLine {
  readonly timeMs: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Lines about a group or target that lie further from the request's own tell nothing about it. */
const relatedMs = 10_000;
/** Fields that every line has, or that the story shows in a place of their own. */
const plainFields: ReadonlySet<string> = new Set([
  'level',
  'time',
  'instanceId',
  'part',
  'step',
  'msg',
  'requestId',
]);

/** Reads the JSON objects of a log; what stands before the object on a line is skipped. */
export const readLogLines = (text: string): readonly LogLine[] =>
  text.split('\n').flatMap((line) => {
    const start = line.indexOf('{');
    if (start === -1) return [];
    try {
      const fields = JSON.parse(line.slice(start)) as Record<string, unknown>;
      const timeMs = Date.parse(String(fields.time));
      return Number.isNaN(timeMs) ? [] : [{ timeMs, fields }];
    } catch {
      // A line that was cut off when its process was killed.
      return [];
    }
  });

const namesIn = (lines: readonly LogLine[]): ReadonlySet<unknown> =>
  new Set(
    lines
      .flatMap(({ fields }) => [fields.targetId, fields.group, fields.groupName])
      .filter((name) => name !== undefined),
  );

const formatLine = ({ fields }: LogLine): string => {
  const details = Object.entries(fields)
    .filter(([name]) => !plainFields.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  const { time, instanceId, step, msg } = fields;
  return [String(time), String(instanceId), String(step), String(msg), ...details].join('  ');
};

/**
 * Tells the story of one request, group or target from the logs of several daemons, in the order of time:
 * its own lines, and what was found and ordered about the groups and targets that they name.
 */
export const explainFromLogs = (id: string, lines: readonly LogLine[]): readonly string[] => {
  const own = lines.filter(({ fields }) =>
    [fields.requestId, fields.targetId, fields.group, fields.groupName].includes(id),
  );
  if (own.length === 0) return [];
  const names = namesIn(own);
  const groupNames = new Set([...names].map((name) => String(name).split('@')[0]));
  const firstMs = Math.min(...own.map(({ timeMs }) => timeMs)) - relatedMs;
  const lastMs = Math.max(...own.map(({ timeMs }) => timeMs)) + relatedMs;
  const related = lines.filter(({ timeMs, fields }) => {
    if (fields.requestId !== undefined || timeMs < firstMs || timeMs > lastMs) return false;
    return names.has(fields.targetId) || groupNames.has(String(fields.groupName));
  });
  return [...new Set([...own, ...related])]
    .sort((one, other) => one.timeMs - other.timeMs)
    .map(formatLine);
};
