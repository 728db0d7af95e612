/** Runs one proof with one seed: `proveOne.ts <proof> <seed>`; prints the report as the last line. */
import process from 'node:process';
import * as testing from '@comfreydrum/testing';

const [proof = '', seedText = '1'] = process.argv.slice(2);
const timeoutMs = 50_000;

const timer = setTimeout(() => {
  console.log(JSON.stringify({ violations: [`no result within ${timeoutMs} ms`], figures: {} }));
  process.exit(1);
}, timeoutMs);

const run = async (): Promise<testing.ProofReport> => {
  const { prove } = (await import(`../proofs/${proof}.ts`)) as { readonly prove: testing.Proof };
  return prove(testing.createProofContext(Number(seedText), console.log));
};

const describeCause = (cause: unknown): string =>
  cause instanceof Error && cause.cause !== undefined
    ? `${String(cause)}: ${describeCause(cause.cause)}`
    : String(cause);

const report = await run().catch((cause: unknown) => ({
  violations: [`the proof threw an error: ${describeCause(cause)}`],
  figures: {},
}));
clearTimeout(timer);
console.log(JSON.stringify(report));
process.exit(report.violations.length === 0 ? 0 : 1);
