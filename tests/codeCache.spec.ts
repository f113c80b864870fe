/** Bundles that are loaded with compiled code. */
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { expect } from 'earl';
import { requireCached, writeCodeCache } from '../platform/codeCache.js';

interface Loaded {
  separator: string;
  directory: string;
}

function bundle(): { file: string; cacheFile: string; directory: string } {
  const directory = mkdtempSync(path.join(tmpdir(), 'bundle-'));
  const file = path.join(directory, 'bundle.cjs');
  writeFileSync(file, "exports.separator = require('node:path').sep; exports.directory = __dirname;");
  return { file, cacheFile: path.join(directory, 'bundle.cache'), directory };
}

test('should load a bundle with its code cache, without one, and with one that is spoilt', () => {
  const { file, cacheFile, directory } = bundle();
  const expected = { separator: path.sep, directory };
  expect(requireCached<Loaded>(file, cacheFile)).toEqual(expected);
  writeCodeCache(file, cacheFile);
  expect(requireCached<Loaded>(file, cacheFile)).toEqual(expected);
  writeFileSync(cacheFile, readFileSync(cacheFile).subarray(0, 100));
  expect(requireCached<Loaded>(file, cacheFile)).toEqual(expected);
});

test('should end with the error of a bundle that cannot be loaded', () => {
  const { file, cacheFile } = bundle();
  writeFileSync(file, "throw new Error('broken bundle')");
  expect(() => requireCached<Loaded>(file, cacheFile)).toThrow('broken bundle');
});
