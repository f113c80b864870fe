/** Bundles the daemons that run on the users' platform into target/: one file loads faster than hundreds. */
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import path from 'node:path';
import { build } from 'esbuild';

const resolve = createRequire(import.meta.url).resolve;

/** Replacements for packages of which only a part is used, so that processes start faster. */
const PACKAGE_PARTS = {
  undici: path.resolve('scripts/undiciParts.mjs'),
  'hdr-histogram-js': resolve('hdr-histogram-js/dist/HistogramBuilder.js'),
};

const replacePackages = {
  name: 'parts-only',
  setup(bundler) {
    const names = Object.keys(PACKAGE_PARTS).join('|');
    bundler.onResolve({ filter: new RegExp(`^(${names})$`) }, ({ path: name }) => ({
      path: PACKAGE_PARTS[name],
    }));
    // undici loads these modules for features that the daemons do not use.
    bundler.onResolve({ filter: /^node:(http2|sqlite)$/ }, ({ path: name }) => ({
      path: name,
      namespace: 'unused',
    }));
    bundler.onLoad({ filter: /.*/, namespace: 'unused' }, () => ({
      contents: 'module.exports = { constants: {} };',
    }));
    // zod has error messages in forty languages, of which the daemons use one.
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
  // Identifiers are not minified, since stack traces show them, and `keepNames` costs each start several milliseconds.
  minifyWhitespace: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  plugins: [replacePackages],
  logLevel: 'warning',
});

// A code cache is valid only for processes with the same arguments of node, which the deploy file names for each role.
const roles = readFileSync('deploy/system.toml', 'utf8').matchAll(/^run = "node (.*)"$/gm);
for (const [, args] of roles) execFileSync(process.execPath, [...args.split(' '), 'write-code-cache']);
