/**
 * Runs the compiled tests: first those that may run beside each other, then those of tests/crowds one at a time, since
 * they measure the memory of processes under load. Fails if either run failed.
 * Usage: node scripts/runTests.mjs [FOLDER], by default dist/tests
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync } from 'node:fs';
import path from 'node:path';

/** Options of a run; the time limit applies to a whole file. */
const TOGETHER = ['--test-timeout=90000', '--test-concurrency=4'];
const ONE_BY_ONE = ['--test-timeout=300000', '--test-concurrency=1'];

const [folder = 'dist/tests'] = process.argv.slice(2);
const runs = [run(folder, TOGETHER), run(path.join(folder, 'crowds'), ONE_BY_ONE)];
process.exitCode = runs.every((passed) => passed) ? 0 : 1;

/** Runs the tests in the files of a folder, without its subfolders. Returns whether all passed. */
function run(directory, options) {
  const names = existsSync(directory) ? readdirSync(directory).sort() : [];
  const files = names.filter((name) => name.endsWith('.spec.js')).map((name) => path.join(directory, name));
  if (files.length === 0) return true;
  const { status } = spawnSync(process.execPath, ['--test', ...options, ...files], { stdio: 'inherit' });
  return status === 0;
}
