import * as esbuild from 'esbuild';
import { chmod, readdir } from 'node:fs/promises';
import rootPackage from '../package.json' with { type: 'json' };

const applications = await readdir('apps');

const executableMode = 0o755;

const buildApplication = async (application: string) => {
  const outfile = `apps/${application}/dist/main.js`;
  await esbuild.build({
    entryPoints: [`apps/${application}/src/main.ts`],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    sourcemap: true,
    external: Object.keys(rootPackage.dependencies),
    logLevel: 'warning',
    banner: { js: '#!/usr/bin/env node' },
  });
  await chmod(outfile, executableMode);
};

await Promise.all(applications.map(buildApplication));
