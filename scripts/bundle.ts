/** Bundles the daemon with all its libraries into one file, which starts sooner than many. */
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
  // Libraries in the older module format call require.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
});
