/**
 * Checks the output of a test run: prints and ignores the failures that KNOWN-RED.txt lists, and fails on any other.
 * Usage: node scripts/checkTests.mjs EXIT-STATUS OUTPUT-FILE KNOWN-RED-FILE
 */
import { existsSync, readFileSync } from 'node:fs';

/** Maximum number of tests that are known to fail, without the cases of the review and the tests in tests/crowds. */
const MAX_KNOWN = 3;
/** A case in review/, which has a command of its own and is not run with the tests. */
const REVIEW_CASE = /^review\/\d+$/;
/** The command of a test in tests/crowds. */
const CROWD_COMMAND = /^node --test dist\/tests\/crowds\/\w+\.spec\.js\b/;
const SEPARATOR = ' | ';

const [status, outputFile, knownFile] = process.argv.slice(2);
const known = readKnown(knownFile);
const tests = [...known.keys()].filter((name) => !REVIEW_CASE.test(name));
const counted = tests.filter((name) => !CROWD_COMMAND.test(known.get(name)));
const failed = failedTests(readFileSync(outputFile, 'utf8'));
const unexpected = failed.filter((name) => !known.has(name));
for (const name of failed) if (known.has(name)) console.log(`known red: ${name}: ${known.get(name)}`);
for (const name of tests) if (!failed.includes(name)) console.log(`known red, but passed: ${name}`);
for (const [name, cause] of known)
  if (REVIEW_CASE.test(name)) console.log(`known red, not run: ${name}: ${cause}`);
for (const name of unexpected) console.error(`failed: ${name}`);
const failedWithoutName = status !== '0' && failed.length === 0;
if (failedWithoutName) console.error(`the test run ended with ${status} and named no test that failed`);
if (counted.length > MAX_KNOWN) console.error(`${knownFile}: more than ${MAX_KNOWN} lines; mend some first`);
process.exitCode = unexpected.length > 0 || failedWithoutName || counted.length > MAX_KNOWN ? 1 : 0;

/** Returns cause and issue of the known failures, by test name. Each line holds test, cause and issue. */
function readKnown(file) {
  if (!existsSync(file)) return new Map();
  const lines = readFileSync(file, 'utf8').split('\n');
  return new Map(
    lines
      .filter((line) => line.trim() !== '')
      .map((line) => line.split(SEPARATOR))
      .map(([name, ...rest]) => [name.trim(), rest.join(SEPARATOR)]),
  );
}

/** Returns the names of failed tests in the TAP output of the test runner. */
function failedTests(output) {
  const lines = output.split('\n');
  return lines
    .map((line) => /^\s*not ok \d+ - (.*?)\s*$/.exec(line)?.[1])
    .filter((name) => name !== undefined);
}
