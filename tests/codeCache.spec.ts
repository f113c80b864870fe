/** Loading of bundles with a V8 code cache. */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { expect } from 'earl';
import { requireCached, writeCodeCache } from '../platform/codeCache.js';

/** Exports of the bundle. */
interface BundleExports {
  separator: string;
  directory: string;
}

function createBundle(): { file: string; cacheFile: string; directory: string } {
  const directory = mkdtempSync(path.join(tmpdir(), 'bundle-'));
  const file = path.join(directory, 'bundle.cjs');
  writeFileSync(file, "exports.separator = require('node:path').sep; exports.directory = __dirname;");
  return { file, cacheFile: path.join(directory, 'bundle.cache'), directory };
}

test('should load a bundle with its code cache, without one, and with a corrupt one', () => {
  const { file, cacheFile, directory } = createBundle();
  const expected = { separator: path.sep, directory };
  expect(requireCached<BundleExports>(file, cacheFile)).toEqual(expected);
  writeCodeCache(file, cacheFile);
  expect(requireCached<BundleExports>(file, cacheFile)).toEqual(expected);
  writeFileSync(cacheFile, readFileSync(cacheFile).subarray(0, 100));
  expect(requireCached<BundleExports>(file, cacheFile)).toEqual(expected);
});

test('should throw the error that a bundle throws while it is loaded', () => {
  const { file, cacheFile } = createBundle();
  writeFileSync(file, "throw new Error('broken bundle')");
  expect(() => requireCached<BundleExports>(file, cacheFile)).toThrow('broken bundle');
});

/** Guards against flags that this version of V8 does not know: it only prints an error and ignores them. */
test('should set flags that V8 knows', () => {
  const module = new URL('../platform/runtimeFlags.js', import.meta.url).href;
  const code = `import('${module}').then(({ setRuntimeFlags }) => setRuntimeFlags())`;
  const { status, stdout, stderr } = spawnSync(process.execPath, ['-e', code], { encoding: 'utf8' });
  expect([status, stdout, stderr]).toEqual([0, '', '']);
});
