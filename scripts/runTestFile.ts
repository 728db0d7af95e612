/** Runs one test file, then exits explicitly, because the TypeScript loader can keep the process alive. */
import { resolve } from 'node:path';
import process from 'node:process';
import * as uvu from 'uvu/run';

const [file = ''] = process.argv.slice(2);

await uvu.run([{ name: file, file: resolve(file) }]);
process.exit();
