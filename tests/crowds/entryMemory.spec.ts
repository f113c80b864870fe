/** Memory that an entry keeps once a crowd of callers has gone. */
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import type { Script } from '../fixtures/crowd.js';
import { CrowdTrial } from '../fixtures/crowdTrial.js';
import {
  MAX_BODY_BYTES,
  answerWith,
  bodyParts,
  chunks,
  requestHead,
  startEntry,
  stopEntry,
} from '../fixtures/crowdedEntry.js';

const CLIENTS = 100;
const CHUNK_BYTES = 60 * 1024;
const REQUESTS_EACH = 60;
const LONG_ANSWER = Buffer.alloc(256 * 1024, 'x');

afterEach(stopEntry);

function* endlessBody(client: number): Script {
  yield `${requestHead(`chunked-${client}`)}Transfer-Encoding: chunked\r\n\r\n`;
  yield* chunks(Math.floor(MAX_BODY_BYTES / CHUNK_BYTES), CHUNK_BYTES);
}

function* shortBody(client: number): Script {
  yield `${requestHead(`short-${client}`)}Content-Length: ${MAX_BODY_BYTES}\r\n\r\n`;
  yield* bodyParts(MAX_BODY_BYTES - 1, 64 * 1024);
}

function* requestsAhead(client: number): Script {
  for (let index = 0; index < REQUESTS_EACH; index++)
    yield `${requestHead(`ahead-${client}-${index}`, { method: 'GET', path: `/a/${client}/${index}` })}\r\n`;
}

test('should give back the memory of bodies in chunks without end', async () => {
  const { entry, target } = await startEntry();
  const givesBack = await new CrowdTrial(target).givesBack((crowd) =>
    crowd.connect(entry.front, CLIENTS, endlessBody),
  );
  expect(givesBack).toEqual(true);
});

test('should give back the memory of bodies that stop short of their end', async () => {
  const { entry, target } = await startEntry();
  const givesBack = await new CrowdTrial(target).givesBack((crowd) =>
    crowd.connect(entry.front, CLIENTS, shortBody),
  );
  expect(givesBack).toEqual(true);
});

test('should give back the memory of answers that were not read', async () => {
  const { entry, target } = await startEntry(answerWith(LONG_ANSWER));
  const givesBack = await new CrowdTrial(target).givesBack((crowd) =>
    crowd.connect(entry.front, 1_000, requestsAhead),
  );
  expect(givesBack).toEqual(true);
});
