/** Bundles the daemons that run on the users' platform into target/, since loading hundreds of files takes longer. */
import { createRequire } from 'node:module';
import path from 'node:path';
import { build } from 'esbuild';

/** Bundled packages of the older module format expect `require`. */
const REQUIRE =
  "import{createRequire as makeRequire}from'node:module';const require=makeRequire(import.meta.url);";

const resolve = createRequire(import.meta.url).resolve;

/** Packages of which only a part is loaded: a starting process serves nothing, so every millisecond counts. */
const PARTS = {
  undici: path.resolve('scripts/undiciParts.mjs'),
  'hdr-histogram-js': resolve('hdr-histogram-js/dist/HistogramBuilder.js'),
};

const partsOnly = {
  name: 'parts-only',
  setup(bundler) {
    const names = Object.keys(PARTS).join('|');
    bundler.onResolve({ filter: new RegExp(`^(${names})$`) }, ({ path: name }) => ({ path: PARTS[name] }));
    // error texts in forty languages, of which one is used
    bundler.onLoad({ filter: /zod[\\/]v4[\\/]locales[\\/]index\.js$/ }, () => ({
      contents: "export { default as en } from './en.js';",
      loader: 'js',
    }));
  },
};

await build({
  entryPoints: ['platform/main.ts'],
  outdir: 'target',
  bundle: true,
  splitting: true,
  // names stay as they are: they stand in stack traces, and keeping them by assignment costs each start several milliseconds
  minifyWhitespace: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  plugins: [partsOnly],
  banner: { js: REQUIRE },
  logLevel: 'warning',
});
