import { isConnectionHeader } from './isConnectionHeader';

/** Gives the headers that go beyond one connection, as a flat list; `dropped` names are left out too. */
export const endToEndHeaders = (
  rawHeaders: readonly string[],
  connection: string | undefined,
  excludedNames: ReadonlySet<string>,
): readonly string[] => {
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    const lower = name.toLowerCase();
    if (isConnectionHeader(lower, connection) || excludedNames.has(lower)) continue;
    kept.push(name, rawHeaders[index + 1]!);
  }
  return kept;
};
