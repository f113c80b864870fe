/** Bundles the daemons that run on the users' platform into target/, since loading hundreds of files takes longer. */
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import path from 'node:path';
import { build } from 'esbuild';

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
    // loaded by undici for a protocol that is not used here
    bundler.onResolve({ filter: /^node:(http2|sqlite)$/ }, ({ path: name }) => ({
      path: name,
      namespace: 'unused',
    }));
    bundler.onLoad({ filter: /.*/, namespace: 'unused' }, () => ({
      contents: 'module.exports = { constants: {} };',
    }));
    // error texts in forty languages, of which one is used
    bundler.onLoad({ filter: /zod[\\/]v4[\\/]locales[\\/]index\.js$/ }, () => ({
      contents: "export { default as en } from './en.js';",
      loader: 'js',
    }));
  },
};

await build({
  entryPoints: ['platform/bundledMain.ts', 'platform/start.ts'],
  entryNames: '[name]',
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  // names stay as they are: they stand in stack traces, and keeping them by assignment costs each start several milliseconds
  minifyWhitespace: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  plugins: [partsOnly],
  logLevel: 'warning',
});

// a code cache fits processes with the same flags only, so that the deploy file is asked for those of each role
const roles = readFileSync('deploy/system.toml', 'utf8').matchAll(/^run = "node (.*)"$/gm);
for (const [, words] of roles) execFileSync(process.execPath, [...words.split(' '), 'write-code-cache']);
