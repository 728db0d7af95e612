/** Formats rows as a table with headings; every column is as wide as its widest cell. */
export const formatTable = (
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string => {
  const lines = [headings, ...rows];
  const widths = headings.map((_heading, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
};
