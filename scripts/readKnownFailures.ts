import { readFile } from 'node:fs/promises';

/** Reads the names of known failing tests from KNOWN-RED.txt; each line is `test | command | …`. */
export const readKnownFailures = async (): Promise<readonly string[]> => {
  const text = await readFile('KNOWN-RED.txt', 'utf8').catch(() => '');
  return text
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith('#'))
    .map((line) => line.split('|')[0]!.trim());
};
