/** Runs each test file in its own process, then prints the failures and the totals. */
import { availableParallelism } from 'node:os';
import process from 'node:process';
import { stripVTControlCharacters } from 'node:util';
import { findFiles } from './findFiles';
import { readKnownFailures } from './readKnownFailures';
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
/** Lower than for other tests, because each proof starts about eight processes. */
const proofConcurrency = 2;
/** Suffix of files that run alone, because they assert bounds of tens of milliseconds. */
const serialSuffix = '.alone.test.ts';

const readCount = (output: string, label: string): number =>
  Number(new RegExp(`${label}:\\s+(\\d+)`).exec(output)?.[1] ?? 0);

const runFile = async (file: string): Promise<FileResult> => {
  const { exitCode, output } = await runProcess(
    process.execPath,
    ['--import', 'tsx', 'scripts/runTestFile.ts', file],
    fileTimeoutMs,
  );
  const plainOutput = stripVTControlCharacters(output);
  const failedTests = [...plainOutput.matchAll(/^\s*FAIL\s+(.+)$/gm)].map((match) =>
    match[1]!.trim(),
  );
  const hasCrashed = exitCode !== 0 && failedTests.length === 0;
  const hasRunNoTest = exitCode === 0 && readCount(plainOutput, 'Total') === 0;
  return {
    file,
    passedCount: readCount(plainOutput, 'Passed'),
    failures: hasCrashed || hasRunNoTest ? [`${file} ran no test to its end`] : failedTests,
    output: plainOutput,
  };
};

const files = await findFiles(
  ['packages', 'platform', 'apps', 'proofs', 'benchmarks', 'scripts'],
  '.test.ts',
);
const pathParts = process.argv.slice(2);
const selected = files.filter((file) => pathParts.every((part) => file.includes(part)));
const isSerial = (file: string) => file.endsWith(serialSuffix);
const isProof = (file: string) => file.startsWith('proofs/') && !isSerial(file);
const isOther = (file: string) => !isProof(file) && !isSerial(file);
const concurrency = Math.min(maxConcurrency, availableParallelism());
const results = [
  ...(await mapConcurrently(selected.filter(isOther), concurrency, runFile)),
  ...(await mapConcurrently(selected.filter(isProof), proofConcurrency, runFile)),
  ...(await mapConcurrently(selected.filter(isSerial), 1, runFile)),
];

const knownFailures = await readKnownFailures();
const failures = results.flatMap(({ file, failures: names, output }) =>
  names.map((name) => ({ name, file, output, isKnown: knownFailures.includes(name) })),
);
const unexpected = failures.filter(({ isKnown }) => !isKnown);
const failedFiles = new Map(unexpected.map(({ file, output }) => [file, output]));
failedFiles.forEach((output, file) => console.log(`${file}\n${output}`));
failures.forEach(({ name, isKnown }) =>
  console.log(`${isKnown ? 'known red' : 'failed'}: ${name}`),
);

const passedCount = results.reduce((sum, result) => sum + result.passedCount, 0);
console.log(`${passedCount} passed, ${unexpected.length} failed`);
process.exitCode = unexpected.length > 0 || passedCount === 0 ? 1 : 0;
