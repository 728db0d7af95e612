import process from 'node:process';
import tab from '@bomb.sh/tab/commander';
import type * as commander from 'commander';
import { listFiles } from './listFiles';

/**
 * Adds the `complete` command, which prints shell completion scripts and answers their queries. The file
 * argument of `apply` is completed with JSON files.
 */
export const addCompletion = (program: commander.Command): void => {
  const completion = tab(program);
  completion.commands.get('apply')?.argument('file', (addCandidate) => {
    listFiles(process.argv.at(-1) ?? '').forEach((path) => addCandidate(path, ''));
  });
};
