import { isConnectionHeader } from './isConnectionHeader';

/** Returns the end-to-end headers as a flat list, without those in `excludedNames`. */
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
