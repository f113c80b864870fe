/** The commands of docs/OPERATIONS.md, in its order, on a fleet of processes. */
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { expect } from 'earl';
import { OPERATOR_KEY } from '../standins/localFleet.js';
import type { CommandResult } from './fixtures/commandLine.js';
import { larklatch, temporaryFile } from './fixtures/commandLine.js';
import { CHUNK_BYTES, useFleet } from './fixtures/fleetFixture.js';

const context = useFleet({ modelBoxesPerDataCentre: 1 });

async function operate(...words: string[]): Promise<CommandResult> {
  const entryUrl = context.fleet.entries()[0].httpUrl;
  return await larklatch(words, { LARKLATCH_ENTRY_URL: entryUrl, LARKLATCH_OPERATOR_KEY: OPERATOR_KEY });
}

/** The template that the operators' page shows. */
function documentedTemplate(): string {
  const page = readFileSync('docs/OPERATIONS.md', 'utf8');
  return /`template\.json`:\s+```json\n([\s\S]+?)```/.exec(page)![1];
}

function configurationWords(version: string): string[] {
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

test('should go from a customer’s key to a rollout in service', async () => {
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
  expect((await operate('customer', 'put', 'studio', '--key-file', key)).exitCode).toEqual(0);
  expect((await operate('check', 'template', '--file', template)).exitCode).toEqual(0);
  expect((await operate('template', 'put', 'chat', '--file', template)).exitCode).toEqual(0);
  expect((await operate(...configurationWords('v1'))).exitCode).toEqual(0);
  const watched = await operate('rollout', 'watch', 'studio', 'advisor');
  expect(watched.exitCode).toEqual(0);
  expect(watched.output.includes('3/3 boxes')).toEqual(true);
});

test('should change it, and tell one of two operators that the other was first', async () => {
  const before = JSON.parse((await operate('configuration', 'list', '--json')).output) as {
    items: { revision: number }[];
  };
  const revision = String(before.items[0].revision);
  expect((await operate(...configurationWords('v2'), '--if-match', revision)).exitCode).toEqual(0);
  const late = await operate(...configurationWords('v1'), '--if-match', revision);
  expect(late.exitCode).toEqual(3);
  expect((await operate('rollout', 'watch', 'studio', 'advisor')).exitCode).toEqual(0);
  const status = JSON.parse((await operate('rollout', 'status', 'studio', 'advisor', '--json')).output) as {
    replicas: number;
  };
  expect(status.replicas).toEqual(3);
});

test('should tell a caller which entries to use', async () => {
  const words = ['entries', '--api-key', 'key-of-the-studio', '--data-centre', 'rennes', '--json'];
  const { entries } = JSON.parse((await operate(...words)).output) as { entries: { dataCentre: string }[] };
  expect(entries.map((entry) => entry.dataCentre)[0]).toEqual('rennes');
  expect(entries.length).toEqual(3);
});

test('should end with its own code for wrong input and for a rollout that is not complete', async () => {
  const wrong = await operate(
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
  expect((await operate(...configurationWords('missing'))).exitCode).toEqual(0);
  expect((await operate('rollout', 'watch', 'studio', 'advisor', '--timeout-seconds', '1')).exitCode).toEqual(
    5,
  );
  expect((await operate('rollout', 'start')).exitCode).toEqual(2);
});

test('should withdraw it', async () => {
  expect((await operate('configuration', 'delete', 'studio', 'advisor')).exitCode).toEqual(0);
  expect((await operate('rollout', 'watch', 'studio', 'advisor')).exitCode).toEqual(0);
  expect((await operate('configuration', 'get', 'studio', 'advisor')).exitCode).toEqual(2);
});

test('should say that no entry answers', async () => {
  const words = ['template', 'list', '--entry-url', 'http://127.0.0.1:1', '--operator-key', 'some-key'];
  const result = await larklatch(words);
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
