/** Runs soak tests with injected faults: `npm run soak -- --seeds A-B`. */
import process from 'node:process';
import * as commander from 'commander';
import * as soak from '../platform/src/testing/soak/runSoak';
import * as seedOptions from './parseSeeds';

const program = new commander.Command('soak')
  .description(
    'plays real daemons against faults from outside, and checks what callers and workers saw',
  )
  .option('--seeds <range>', 'seeds A-B; a fresh one when left out', seedOptions.parseSeeds)
  .option(
    '--earlier <program>',
    'main.js of an earlier build, whose daemons are replaced one by one',
  )
  .parse();
const randomSeed = Date.now() % 1_000_000_000;
const { seeds = [randomSeed], earlier } = program.opts<{
  seeds?: readonly number[];
  earlier?: string;
}>();

let failedCount = 0;
for (const seed of seeds) {
  const { faults, broken, callCount, servedCount } = await soak.runSoak(seed, earlier);
  if (broken.length > 0) failedCount += 1;
  const result = broken.length === 0 ? 'passed' : 'failed';
  console.log(`seed ${seed}: ${result}, ${servedCount} of ${callCount} requests served`);
  if (broken.length > 0) console.log(JSON.stringify({ seed, broken, faults }, undefined, 1));
}
console.log(`${seeds.length} seeds, ${failedCount} failed`);
process.exitCode = failedCount > 0 ? 1 : 0;
