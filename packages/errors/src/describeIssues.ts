/** A validation issue reported by a schema library. */
interface Issue {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

const describePath = (path: readonly PropertyKey[]): string =>
  path.map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`)).join('') || '.';

/**
 * Returns one line per validation issue, with the path in the document and the message of the
 * issue.
 */
export const describeIssues = (issues: readonly Issue[]): readonly string[] =>
  issues.map((issue) => `${describePath(issue.path)}: ${issue.message}`);
