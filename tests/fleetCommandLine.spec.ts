/** The commands of docs/OPERATIONS.md, in the same order, on a fleet of processes. Each test builds on those before. */
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { expect } from 'earl';
import { OPERATOR_KEY } from '../standins/localFleet.js';
import type { CommandResult } from './fixtures/commandLine.js';
import { larklatch, temporaryFile } from './fixtures/commandLine.js';
import { CHUNK_BYTES, useFleet } from './fixtures/fleetFixture.js';

const context = useFleet({ modelBoxesPerDataCentre: 1 });

async function runAsOperator(...args: string[]): Promise<CommandResult> {
  const entryUrl = context.fleet.entries()[0].httpUrl;
  return await larklatch(args, { LARKLATCH_ENTRY_URL: entryUrl, LARKLATCH_OPERATOR_KEY: OPERATOR_KEY });
}

/** Returns the example template in docs/OPERATIONS.md. */
function documentedTemplate(): string {
  const page = readFileSync('docs/OPERATIONS.md', 'utf8');
  return /`template\.json`:\s+```json\n([\s\S]+?)```/.exec(page)![1];
}

function putArguments(version: string): string[] {
  const boxes = JSON.stringify(context.fleet.modelBoxes());
  return [
    'configuration',
    'put',
    'studio',
    'advisor',
    '--template',
    'chat',
    '--set',
    `version=${version}`,
    '--set',
    `boxes=${boxes}`,
  ];
}

test('should register a customer and complete a rollout', async () => {
  const { fleet } = context;
  for (const version of ['v1', 'v2']) {
    await fleet.publishVersion({
      customer: 'studio',
      model: 'advisor',
      version,
      chunkBytes: CHUNK_BYTES,
      chunkCount: 4,
    });
  }
  const template = temporaryFile('template.json', documentedTemplate());
  const key = temporaryFile('studio.key', 'key-of-the-studio\n');
  expect((await runAsOperator('customer', 'put', 'studio', '--key-file', key)).exitCode).toEqual(0);
  expect((await runAsOperator('check', 'template', '--file', template)).exitCode).toEqual(0);
  expect((await runAsOperator('template', 'put', 'chat', '--file', template)).exitCode).toEqual(0);
  expect((await runAsOperator(...putArguments('v1'))).exitCode).toEqual(0);
  const watched = await runAsOperator('rollout', 'watch', 'studio', 'advisor');
  expect(watched.exitCode).toEqual(0);
  expect(watched.output.includes('3/3 boxes')).toEqual(true);
});

test('should change the configuration, and report a conflict to an operator with an old revision', async () => {
  const before = JSON.parse((await runAsOperator('configuration', 'list', '--json')).output) as {
    items: { revision: number }[];
  };
  const revision = String(before.items[0].revision);
  expect((await runAsOperator(...putArguments('v2'), '--if-match', revision)).exitCode).toEqual(0);
  const late = await runAsOperator(...putArguments('v1'), '--if-match', revision);
  expect(late.exitCode).toEqual(3);
  expect((await runAsOperator('rollout', 'watch', 'studio', 'advisor')).exitCode).toEqual(0);
  const status = JSON.parse(
    (await runAsOperator('rollout', 'status', 'studio', 'advisor', '--json')).output,
  ) as {
    replicas: number;
  };
  expect(status.replicas).toEqual(3);
});

test('should list the entries that a caller can use', async () => {
  const args = ['entries', '--api-key', 'key-of-the-studio', '--data-centre', 'rennes', '--json'];
  const { entries } = JSON.parse((await runAsOperator(...args)).output) as {
    entries: { dataCentre: string }[];
  };
  expect(entries.map((entry) => entry.dataCentre)[0]).toEqual('rennes');
  expect(entries.length).toEqual(3);
});

test('should have separate exit codes for invalid input and for an incomplete rollout', async () => {
  const wrong = await runAsOperator(
    'configuration',
    'put',
    'studio',
    'advisor',
    '--template',
    'chat',
    '--set',
    'version=v 1',
  );
  expect(wrong.exitCode).toEqual(2);
  expect(wrong.errors.includes('parameters.version')).toEqual(true);
  expect((await runAsOperator(...putArguments('missing'))).exitCode).toEqual(0);
  expect(
    (await runAsOperator('rollout', 'watch', 'studio', 'advisor', '--timeout-seconds', '1')).exitCode,
  ).toEqual(5);
  expect((await runAsOperator('rollout', 'start')).exitCode).toEqual(2);
});

test('should withdraw the configuration', async () => {
  expect((await runAsOperator('configuration', 'delete', 'studio', 'advisor')).exitCode).toEqual(0);
  expect((await runAsOperator('rollout', 'watch', 'studio', 'advisor')).exitCode).toEqual(0);
  expect((await runAsOperator('configuration', 'get', 'studio', 'advisor')).exitCode).toEqual(2);
});

test('should report that no entry answers', async () => {
  const args = ['template', 'list', '--entry-url', 'http://127.0.0.1:1', '--operator-key', 'some-key'];
  const result = await larklatch(args);
  expect(result.exitCode).toEqual(4);
  expect(result.errors.includes('127.0.0.1:1')).toEqual(true);
});

test('should check the settings of a daemon without starting it', async () => {
  const good = [
    '--box',
    'box-7',
    '--data-centre',
    'zagreb',
    '--backend-url',
    'http://10.0.1.7:9000',
    '--origin-url',
    'http://10.0.9.3:80',
  ];
  const key = { LARKLATCH_SHARED_KEY: 'a-key-of-sixteen-or-more' };
  expect((await larklatch(['check', 'agent', ...good], key)).exitCode).toEqual(0);
  const wrong = await larklatch(['check', 'agent', ...good, '--backend-slots', 'many'], key);
  expect(wrong.exitCode).toEqual(2);
  expect(wrong.errors.includes('--backend-slots')).toEqual(true);
});
