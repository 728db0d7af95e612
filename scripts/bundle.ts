/** Bundles the daemon and its dependencies into one file, which loads faster than many modules. */
import * as esbuild from 'esbuild';

await esbuild.build({
  entryPoints: ['apps/comfreydrumd/src/main.ts'],
  outfile: 'target/comfreydrumd.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: 'warning',
  // Bundled CommonJS dependencies call `require`, which ES modules do not define.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
});
