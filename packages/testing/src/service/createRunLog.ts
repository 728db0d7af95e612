import { appendFileSync, existsSync, readFileSync } from 'node:fs';

/** One execution of a non-idempotent request. */
export interface FilingRun {
  readonly filingId: string;
  readonly key: string;
  readonly caller: string;
  readonly requestId: string;
  readonly instanceId: string;
  readonly bodyDigest: string;
  readonly atMs: number;
}

/** An append-only log of runs. */
export interface RunLog {
  readonly append: (run: FilingRun) => void;
  readonly list: () => readonly FilingRun[];
  readonly findByKey: (key: string) => FilingRun | undefined;
}

const readRuns = (file: string): readonly FilingRun[] =>
  readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as FilingRun);

/**
 * Creates a log in memory, or in a file that several stand-ins of one service share, as instances
 * of a real service share a database.
 */
export const createRunLog = (file: string | undefined): RunLog => {
  const runs: FilingRun[] = [];
  const list = () => (file === undefined || !existsSync(file) ? runs : readRuns(file));
  return {
    append: (run) => {
      if (file === undefined) runs.push(run);
      else appendFileSync(file, `${JSON.stringify(run)}\n`);
    },
    list,
    findByKey: (key) => list().find((run) => run.key === key),
  };
};
