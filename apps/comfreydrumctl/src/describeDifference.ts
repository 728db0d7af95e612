const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null;

const pathSegment = (key: string, value: unknown): string =>
  isObject(value) && typeof value.name === 'string' ? `[${value.name}]` : `.${key}`;

const entriesBySegment = (value: Readonly<Record<string, unknown>>): ReadonlyMap<string, unknown> =>
  new Map(Object.entries(value).map(([key, item]) => [pathSegment(key, item), item]));

/** Lists the paths at which two documents differ. List items with a name are matched by name, others by index. */
export const describeDifference = (
  before: unknown,
  after: unknown,
  path = '',
): readonly string[] => {
  if (isObject(before) && isObject(after)) {
    const left = entriesBySegment(before);
    const right = entriesBySegment(after);
    const segments = [...new Set([...left.keys(), ...right.keys()])];
    return segments.flatMap((segment) =>
      describeDifference(left.get(segment), right.get(segment), `${path}${segment}`),
    );
  }
  if (Object.is(before, after)) return [];
  if (before === undefined) return [`+ ${path}: ${JSON.stringify(after)}`];
  if (after === undefined) return [`- ${path}: ${JSON.stringify(before)}`];
  return [`~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`];
};
