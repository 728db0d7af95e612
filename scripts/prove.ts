/** Runs one proof, or all without a name: `npm run prove -- [promise] [--seed N] [--seeds A-B]`. */
import { readdir } from 'node:fs/promises';
import process from 'node:process';
import * as commander from 'commander';
import type * as testing from '@comfreydrum/testing';
import * as seedOptions from './parseSeeds';
import { runProcess } from './runProcess';

interface SeedResult {
  readonly proof: string;
  readonly seed: number;
  readonly report: testing.ProofReport;
}

const timeoutMs = 52_000;

const parseReport = (output: string): testing.ProofReport => {
  const lastLine = output.trimEnd().split('\n').at(-1) ?? '';
  try {
    return JSON.parse(lastLine) as testing.ProofReport;
  } catch {
    return { violations: [`the proof ended without a report: ${lastLine}`], figures: {} };
  }
};

const runSeed = async (proof: string, seed: number): Promise<SeedResult> => {
  const nodeArguments = ['--import', 'tsx', 'scripts/proveOne.ts', proof, String(seed)];
  const { exitCode, output } = await runProcess(process.execPath, nodeArguments, timeoutMs);
  const parsed = parseReport(output);
  const isUnexplainedExit = exitCode !== 0 && parsed.violations.length === 0;
  const report = isUnexplainedExit ? { ...parsed, violations: [`exit code ${exitCode}`] } : parsed;
  if (report.violations.length > 0) console.log(output);
  console.log(`${proof} seed ${seed}: ${report.violations.length === 0 ? 'held' : 'violated'}`);
  return { proof, seed, report };
};

/** Returns the largest value of each figure over all seeds. */
const computeMaxFigures = (results: readonly SeedResult[]): Readonly<Record<string, number>> => {
  const maxFigures: Record<string, number> = {};
  results
    .flatMap(({ report }) => Object.entries(report.figures))
    .forEach(([name, value]) => {
      maxFigures[name] = Math.max(maxFigures[name] ?? -Infinity, value);
    });
  return maxFigures;
};

const listProofs = async (): Promise<readonly string[]> =>
  (await readdir('proofs'))
    .filter((file) => file.endsWith('.ts') && !file.endsWith('.test.ts'))
    .map((file) => file.slice(0, -'.ts'.length))
    .sort();

const program = new commander.Command('prove')
  .argument('[promise]', 'name of one proof')
  .option('--seed <seed>', 'one seed', seedOptions.parseSeeds)
  .option('--seeds <range>', 'seeds A-B', seedOptions.parseSeeds)
  .parse();
const { seed, seeds } = program.opts<{ seed?: readonly number[]; seeds?: readonly number[] }>();
const [selectedProof] = program.args;

const results: SeedResult[] = [];
for (const proof of selectedProof === undefined ? await listProofs() : [selectedProof]) {
  for (const seedNumber of seeds ?? seed ?? [1]) results.push(await runSeed(proof, seedNumber));
}

const violated = results.filter(({ report }) => report.violations.length > 0);
const figures = {
  seeds: results.length,
  violated: violated.length,
  max: computeMaxFigures(results),
};
console.log(`${selectedProof ?? 'all'} ${JSON.stringify(figures)}`);
process.exitCode = violated.length > 0 || results.length === 0 ? 1 : 0;
