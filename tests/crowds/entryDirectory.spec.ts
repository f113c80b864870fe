/** Crowds at the addresses of the directory and of the readiness check, which share a process with the callers'. */
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import type { Script } from '../fixtures/crowd.js';
import type { OrdinaryRequest } from '../fixtures/crowdTrial.js';
import { CrowdTrial } from '../fixtures/crowdTrial.js';
import { UNENDED_FIELDS, bodyParts, chunks, startEntry, stopEntry } from '../fixtures/crowdedEntry.js';

const DESCRIPTORS = 600;
const CONNECTIONS = 1_000;
const CLIENTS = 1_000;
const REQUESTS_EACH = 400;
const REQUESTS_PER_PART = 20;
const BODY_BYTES = 8 * 1024 * 1024;

afterEach(stopEntry);

function resolveHead(name: string): string {
  return `GET /resolve?name=host.example&region=${name}&zone=north HTTP/1.1\r\nHost: directory\r\n`;
}

function* requestsAhead(client: number): Script {
  for (let sent = 0; sent < REQUESTS_EACH; sent += REQUESTS_PER_PART)
    yield `${resolveHead(`${client}-${sent}-${'x'.repeat(1_000)}`)}\r\n`.repeat(REQUESTS_PER_PART);
}

function* chunkedBody(client: number): Script {
  yield `${resolveHead(String(client))}Transfer-Encoding: chunked\r\n\r\n`;
  yield* chunks(client % 2 === 0 ? 40_000 : BODY_BYTES / 32_768, client % 2 === 0 ? 1 : 32_768);
}

function* longBody(client: number): Script {
  yield `${resolveHead(String(client))}Content-Length: ${BODY_BYTES + 1}\r\n\r\n`;
  yield* bodyParts(BODY_BYTES, 16 * 1024);
}

test('should keep within memory when clients of the directory send requests ahead and read no answer', async () => {
  const { entry, target } = await startEntry();
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.directory, CLIENTS, requestsAhead),
  );
  expect(problems).toEqual([]);
});

test('should keep within memory when clients of the directory send bodies without end', async () => {
  const { entry, target } = await startEntry();
  const problems = await new CrowdTrial(target).play((crowd) => {
    crowd.connect(entry.directory, 50, chunkedBody);
    crowd.connect(entry.directory, 50, longBody);
  });
  expect(problems).toEqual([]);
});

test('should keep within memory when clients of the directory and of the readiness check leave heads without end', async () => {
  const { entry, target } = await startEntry();
  const problems = await new CrowdTrial(target).play((crowd) => {
    crowd.connect(entry.directory, 1_300, () => [resolveHead('x'), UNENDED_FIELDS]);
    crowd.connect(entry.ready, 1_300, () => ['GET /readyz HTTP/1.1\r\nHost: ready\r\n', UNENDED_FIELDS]);
  });
  expect(problems).toEqual([]);
});

test('should serve callers while more clients connect to the directory than it has descriptors for', async () => {
  const { entry, target } = await startEntry(undefined, { descriptors: DESCRIPTORS });
  const problems = await new CrowdTrial(target).play(
    (crowd) => crowd.connect(entry.directory, CONNECTIONS, (client) => (client % 2 === 0 ? [] : ['G'])),
    [target.ordinary],
  );
  expect(problems).toEqual([]);
});

test('should serve callers while more clients connect to the readiness check than it has descriptors for', async () => {
  const { entry, target } = await startEntry(undefined, { descriptors: DESCRIPTORS });
  const problems = await new CrowdTrial(target).play(
    (crowd) => crowd.connect(entry.ready, CONNECTIONS, (client) => (client % 2 === 0 ? [] : ['G'])),
    [target.ordinary],
  );
  expect(problems).toEqual([]);
});

test('should answer the readiness check and the directory while callers take all connections', async () => {
  const { entry, target } = await startEntry(undefined, { descriptors: DESCRIPTORS });
  const readiness: OrdinaryRequest = { address: entry.ready, path: '/readyz', answer: '"ready":true' };
  const path = '/resolve?name=host.example&region=x&zone=north';
  const resolving: OrdinaryRequest = { address: entry.directory, path, answer: entry.front };
  const problems = await new CrowdTrial(target).play(
    (crowd) => crowd.connect(entry.front, CONNECTIONS, (client) => (client % 2 === 0 ? [] : ['G'])),
    [readiness, resolving],
  );
  expect(problems).toEqual([]);
});
