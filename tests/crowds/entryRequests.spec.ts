/** Requests that callers send ahead, and heads that they never end. */
import { once } from 'node:events';
import net from 'node:net';
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import type { Script } from '../fixtures/crowd.js';
import { CrowdTrial } from '../fixtures/crowdTrial.js';
import { UNENDED_FIELDS, answerWith, requestHead, startEntry, stopEntry } from '../fixtures/crowdedEntry.js';

const CLIENTS = 1_000;
const REQUESTS_EACH = 60;
const REQUESTS_PER_PART = 2;
const PROMPT_PARTS = 500;
const LONG_ANSWER = Buffer.alloc(256 * 1024, 'x');

afterEach(stopEntry);

/** Sends requests whose keys all differ: ids, paths, parts of prompts and, for every other one, API keys. */
function* requestsAhead(client: number, count: number): Script {
  let part = '';
  for (let index = 1; index <= count; index++) {
    const id = `ahead-${client}-${index}`;
    const key = index % 2 === 0 ? `unknown-${id}` : 'key';
    const parts = Array.from({ length: PROMPT_PARTS }, (_unused, number) => `${id}-${number}:20`).join(',');
    part += `${requestHead(id, { method: 'GET', path: `/a/${id}`, key })}X-Prefix-Hash: ${parts}\r\n\r\n`;
    if (index % REQUESTS_PER_PART > 0 && index < count) continue;
    yield part;
    part = '';
  }
}

test('should keep within memory when callers send requests ahead and read no answer', async () => {
  const { entry, target } = await startEntry(answerWith(LONG_ANSWER));
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.front, CLIENTS, (client) => requestsAhead(client, REQUESTS_EACH)),
  );
  expect(problems).toEqual([]);
});

test('should keep within memory when callers send requests ahead of answers that do not come', async () => {
  const { entry, target } = await startEntry();
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.front, CLIENTS, (client) => requestsAhead(client, REQUESTS_EACH)),
  );
  expect(problems).toEqual([]);
});

test('should keep within memory when callers leave heads of many fields without end', async () => {
  const { entry, target } = await startEntry();
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.front, 2_500, (client) => [requestHead(`fields-${client}`), UNENDED_FIELDS]),
  );
  expect(problems).toEqual([]);
});

test('should keep within memory when callers leave heads of one long field without end', async () => {
  const { entry, target } = await startEntry();
  const field = Buffer.from(`X-Filler: ${'x'.repeat(UNENDED_FIELDS.length)}`);
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.front, 2_500, (client) => [requestHead(`field-${client}`), field]),
  );
  expect(problems).toEqual([]);
});

test('should answer all requests that a caller sends ahead when it reads the answers', async () => {
  const { entry } = await startEntry(answerWith(Buffer.from('answer')));
  const [host, port] = entry.front.split(':');
  const socket = net.connect(Number(port), host);
  const requests = Array.from({ length: 100 }, (_unused, index) =>
    requestHead(`${index}`, { method: 'GET', path: `/b/${index}` }),
  );
  requests[99] += 'Connection: close\r\n';
  socket.write(requests.map((request) => `${request}\r\n`).join(''));
  let text = '';
  socket.on('data', (bytes) => (text += bytes.toString()));
  await once(socket, 'end');
  expect(text.match(/HTTP\/1\.1 \d{3}/g)?.length).toEqual(100);
});
