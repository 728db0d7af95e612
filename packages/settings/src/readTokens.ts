import { readFileSync } from 'node:fs';
import * as errors from '@comfreydrum/errors';

/** A problem with one token file of a list; the message names the file and the expected content. */
export interface TokenFileIssue {
  readonly index: number;
  readonly message: string;
}

/** Why a list of token files was rejected, with one issue per invalid file. */
export interface TokenFailure extends errors.Failure<'tokens-invalid'> {
  readonly issues: readonly TokenFileIssue[];
}

const minTokenLength = 32;

/** Returns the token in `file`; throws if the content is not a valid token. */
const readToken = (file: string): string => {
  const token = readFileSync(file, 'utf8').trim();
  if (token.length >= minTokenLength && !token.includes('\n')) return token;
  throw new Error(`expected one line of at least ${minTokenLength} characters`);
};

/**
 * Reads one token from each of `files`; a file contains a single line, and no token may occur
 * twice.
 */
export const readTokens = (
  files: readonly string[],
): errors.Result<readonly string[], TokenFailure> => {
  const tokens: string[] = [];
  const fileIssues: TokenFileIssue[] = [];
  files.forEach((file, index) => {
    try {
      const token = readToken(file);
      if (tokens.includes(token)) throw new Error('expected another token than before');
      tokens.push(token);
    } catch (cause) {
      fileIssues.push({ index, message: `${file}: ${errors.describeCause(cause)}` });
    }
  });
  if (fileIssues.length === 0) return errors.ok(tokens);
  return errors.err({
    kind: 'tokens-invalid',
    step: 'read token files',
    peer: files.join(', '),
    message: fileIssues.map(({ message }) => message).join('; '),
    issues: fileIssues,
  });
};
