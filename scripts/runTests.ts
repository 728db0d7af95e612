/** Runs every test file in a process of its own and closes with the totals. */
import { availableParallelism } from 'node:os';
import process from 'node:process';
import { stripVTControlCharacters } from 'node:util';
import { findFiles } from './findFiles';
import { readKnownRed } from './knownRed';
import { mapConcurrently } from './mapConcurrently';
import { runProcess } from './runProcess';

interface FileResult {
  readonly file: string;
  readonly passedCount: number;
  readonly failures: readonly string[];
  readonly output: string;
}

const fileTimeoutMs = 120_000;
const maxConcurrency = 4;
/** A proof starts about eight processes of its own. */
const proofConcurrency = 2;
/** Files with bounds of tens of milliseconds, which other tests on the machine would break. */
const aloneSuffix = '.alone.test.ts';

const readCount = (output: string, label: string): number =>
  Number(new RegExp(`${label}:\\s+(\\d+)`).exec(output)?.[1] ?? 0);

const runFile = async (file: string): Promise<FileResult> => {
  const { exitCode, output } = await runProcess(
    process.execPath,
    ['--import', 'tsx', 'scripts/runTestFile.ts', file],
    fileTimeoutMs,
  );
  const plain = stripVTControlCharacters(output);
  const named = [...plain.matchAll(/^\s*FAIL\s+(.+)$/gm)].map((match) => match[1]!.trim());
  const crashed = exitCode !== 0 && named.length === 0;
  const silent = exitCode === 0 && readCount(plain, 'Total') === 0;
  return {
    file,
    passedCount: readCount(plain, 'Passed'),
    failures: crashed || silent ? [`${file} ran no test to its end`] : named,
    output: plain,
  };
};

const files = await findFiles(
  ['packages', 'platform', 'apps', 'proofs', 'benchmarks', 'scripts'],
  '.test.ts',
);
const wanted = process.argv.slice(2);
const selected = files.filter((file) => wanted.every((part) => file.includes(part)));
const isAlone = (file: string) => file.endsWith(aloneSuffix);
const isProof = (file: string) => file.startsWith('proofs/') && !isAlone(file);
const isOther = (file: string) => !isProof(file) && !isAlone(file);
const concurrency = Math.min(maxConcurrency, availableParallelism());
const results = [
  ...(await mapConcurrently(selected.filter(isOther), concurrency, runFile)),
  ...(await mapConcurrently(selected.filter(isProof), proofConcurrency, runFile)),
  ...(await mapConcurrently(selected.filter(isAlone), 1, runFile)),
];

const knownRed = await readKnownRed();
const failures = results.flatMap(({ file, failures: names, output }) =>
  names.map((name) => ({ name, file, output, known: knownRed.includes(name) })),
);
const unexpected = failures.filter(({ known }) => !known);
const failedFiles = new Map(unexpected.map(({ file, output }) => [file, output]));
failedFiles.forEach((output, file) => console.log(`${file}\n${output}`));
failures.forEach(({ name, known }) => console.log(`${known ? 'known red' : 'failed'}: ${name}`));

const passedCount = results.reduce((sum, result) => sum + result.passedCount, 0);
console.log(`${passedCount} passed, ${unexpected.length} failed`);
process.exitCode = unexpected.length > 0 || passedCount === 0 ? 1 : 0;
