/** Compares downtime and stranded hours of the placement policy and its baselines in replays. */
import { writeFile } from 'node:fs/promises';
import process from 'node:process';
import { mapConcurrently } from '../scripts/mapConcurrently';
import { runProcess } from '../scripts/runProcess';
import { drawCurve } from './placement/drawCurve';

/** Results of one policy per day, for one seed or as means over all seeds. */
export interface PolicyResult {
  readonly name: string;
  readonly downtimeHoursPerDay: number;
  readonly strandedHoursPerDay: number;
  readonly loadsPerDay: number;
}

const seedCount = 20;
const concurrency = 3;
const seedTimeoutMs = 600_000;
const curveFile = 'docs/design/placement-curve.svg';
const downtimeWeighted = 'weighted 1';
const strandedWeighted = 'weighted 0';

const replaySeed = async (scenario: string, seed: number): Promise<readonly PolicyResult[]> => {
  const command = ['--import', 'tsx', 'benchmarks/placement/replaySeed.ts', scenario, String(seed)];
  const { exitCode, output } = await runProcess(process.execPath, command, seedTimeoutMs);
  if (exitCode !== 0) throw new Error(`replay of ${scenario} with seed ${seed} failed: ${output}`);
  return JSON.parse(output.trimEnd().split('\n').at(-1)!) as readonly PolicyResult[];
};

const mean = (values: readonly number[]) =>
  Number((values.reduce((sum, value) => sum + value, 0) / values.length).toFixed(2));

const averageSeeds = (seeds: readonly (readonly PolicyResult[])[]): readonly PolicyResult[] =>
  seeds[0]!.map(({ name }, index) => ({
    name,
    downtimeHoursPerDay: mean(seeds.map((figures) => figures[index]!.downtimeHoursPerDay)),
    strandedHoursPerDay: mean(seeds.map((figures) => figures[index]!.strandedHoursPerDay)),
    loadsPerDay: mean(seeds.map((figures) => figures[index]!.loadsPerDay)),
  }));

const findLowest = (figures: readonly PolicyResult[], field: keyof Omit<PolicyResult, 'name'>) =>
  [...figures].sort((left, right) => left[field] - right[field])[0]!;

const compareToBaseline = (policy: PolicyResult, baseline: PolicyResult) => ({
  baseline: baseline.name,
  downtimeRatio: Number((policy.downtimeHoursPerDay / baseline.downtimeHoursPerDay).toFixed(3)),
  strandedRatio: Number((policy.strandedHoursPerDay / baseline.strandedHoursPerDay).toFixed(3)),
});

const measure = async (scenario: string) => {
  const seeds = Array.from({ length: seedCount }, (_, index) => index + 1);
  const figures = averageSeeds(
    await mapConcurrently(seeds, concurrency, (seed) => replaySeed(scenario, seed)),
  );
  const find = (name: string) => figures.find((policy) => policy.name === name)!;
  const baselines = figures.filter(({ name }) => !name.startsWith('weighted'));
  const leastDowntime = findLowest(baselines, 'downtimeHoursPerDay');
  return {
    figures,
    downtimeWeighted: compareToBaseline(find(downtimeWeighted), leastDowntime),
    strandedWeighted: compareToBaseline(find(strandedWeighted), leastDowntime),
    strandedWeightedAgainstLeastStranded: compareToBaseline(
      find(strandedWeighted),
      findLowest(baselines, 'strandedHoursPerDay'),
    ),
  };
};

/** Runs all scenarios and draws the curve of the `letter` scenario. */
export const bench = async () => {
  const letter = await measure('letter');
  await writeFile(curveFile, drawCurve(letter.figures));
  const correlated = await measure('correlated');
  const today = await measure('today');
  return { seedCount, letter, correlated, today };
};
