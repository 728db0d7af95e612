/** Runs one benchmark: `npm run bench -- <name>`; prints its results as one JSON line. */
import { existsSync } from 'node:fs';
import process from 'node:process';

const [name] = process.argv.slice(2);
const file = `benchmarks/${name}.ts`;
if (name === undefined || !existsSync(file)) {
  console.error(`benchmark "${name}" does not exist in benchmarks/`);
  process.exit(2);
}

const { bench } = (await import(`../${file}`)) as { readonly bench: () => Promise<object> };
console.log(JSON.stringify({ benchmark: name, ...(await bench()) }));
process.exit(0);
