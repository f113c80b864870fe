/** Bundles the daemons that run on the users' platform into target/, since loading hundreds of files takes longer. */
import { build } from 'esbuild';

/** Bundled packages of the older module format expect `require`. */
const REQUIRE =
  "import{createRequire as makeRequire}from'node:module';const require=makeRequire(import.meta.url);";

await build({
  entryPoints: ['platform/main.ts'],
  outdir: 'target',
  bundle: true,
  splitting: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: REQUIRE },
  logLevel: 'warning',
});
