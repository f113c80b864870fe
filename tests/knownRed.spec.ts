/** scripts/runTests.mjs runs all tests; scripts/checkTests.mjs ignores their listed failures, and no others. */
import { spawnSync } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { expect } from 'earl';

const PASSED = 'ok 1 - should add';
const FAILED = 'not ok 2 - should divide';
const LISTED = 'should divide | divides by zero | issue 4';

/** Runs the script and returns its exit status and output. */
function check(runStatus: number, output: string, known?: string): { status: number | null; text: string } {
  const folder = mkdtempSync(join(tmpdir(), 'known-red-'));
  try {
    const outputFile = join(folder, 'output');
    const knownFile = join(folder, 'known');
    writeFileSync(outputFile, output);
    if (known !== undefined) writeFileSync(knownFile, known);
    const args = ['scripts/checkTests.mjs', String(runStatus), outputFile, knownFile];
    const { status, stdout, stderr } = spawnSync(process.execPath, args, { encoding: 'utf8' });
    return { status, text: stdout + stderr };
  } finally {
    rmSync(folder, { recursive: true });
  }
}

test('should pass a run in which all tests passed', () => {
  expect(check(0, PASSED).status).toEqual(0);
});

test('should ignore a listed failure and print it', () => {
  const { status, text } = check(1, `${PASSED}\n${FAILED}`, LISTED);
  expect(status).toEqual(0);
  expect(text).toInclude('known red: should divide: divides by zero | issue 4');
});

test('should fail on a failure that is not listed', () => {
  expect(check(1, FAILED).status).toEqual(1);
  expect(check(1, `${FAILED}\nnot ok 3 - should subtract`, LISTED).status).toEqual(1);
});

test('should fail when the run failed without naming a test', () => {
  expect(check(1, PASSED, LISTED).status).toEqual(1);
});

test('should report a listed test that passed', () => {
  const { status, text } = check(0, 'ok 2 - should divide', LISTED);
  expect(status).toEqual(0);
  expect(text).toInclude('known red, but passed: should divide');
});

test('should fail when too many failures are listed', () => {
  const known = ['a', 'b', 'c', 'd'].map((name) => `${name} | cause | issue 4`).join('\n');
  expect(check(0, PASSED, known).status).toEqual(1);
});

test('should run all tests and fail when those of either folder failed', () => {
  const folder = mkdtempSync(join(tmpdir(), 'run-tests-'));
  const passing = "import { test } from 'node:test'; test('should add', () => {});";
  const failing =
    "import { test } from 'node:test'; test('should divide', () => { throw new Error('zero'); });";
  const run = (first: string, second: string): { status: number | null; stdout: string } => {
    writeFileSync(join(folder, 'a.spec.js'), first);
    writeFileSync(join(folder, 'crowds', 'b.spec.js'), second);
    const env = { ...process.env, NODE_TEST_CONTEXT: undefined };
    return spawnSync(process.execPath, ['scripts/runTests.mjs', folder], { encoding: 'utf8', env });
  };
  try {
    mkdirSync(join(folder, 'crowds'));
    writeFileSync(join(folder, 'package.json'), '{ "type": "module" }');
    expect(run(passing, passing).status).toEqual(0);
    const { status, stdout } = run(failing, passing);
    expect(status).toEqual(1);
    expect(stdout).toMatchRegex(/^not ok 1 - should divide$[^]*^ok 1 - should add$/m);
    expect(run(passing, failing).status).toEqual(1);
  } finally {
    rmSync(folder, { recursive: true });
  }
});

test('should not count the listed tests of crowds', () => {
  const command = 'node --test dist/tests/crowds/heads.spec.js';
  const crowds = ['a', 'b', 'c', 'd'].map((name) => `${name} | ${command} | memory | issue 4`);
  expect(check(0, PASSED, [LISTED, ...crowds].join('\n')).status).toEqual(0);
  const others = ['e', 'f', 'g', 'h'].map(
    (name) => `${name} | see dist/tests/crowds/heads.spec.js | issue 4`,
  );
  expect(check(0, PASSED, [...crowds, ...others].join('\n')).status).toEqual(1);
});

test('should print the cases of the review without counting them as tests', () => {
  const cases = ['review/1', 'review/2'].map((name) => `${name} | seen | issue 4`);
  const known = [LISTED, ...['a', 'b'].map((name) => `${name} | cause | issue 4`), ...cases].join('\n');
  const { status, text } = check(1, FAILED, known);
  expect(status).toEqual(0);
  expect(text).toInclude('known red, not run: review/2: seen | issue 4');
  expect(text).not.toInclude('but passed: review');
});
