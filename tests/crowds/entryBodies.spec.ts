/** Bodies that many callers send at once, and most never end. */
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import type { Script } from '../fixtures/crowd.js';
import { CrowdTrial, send } from '../fixtures/crowdTrial.js';
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
/** One of this many clients ends its body. */
const ENDING = 10;
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';
const LARGE_CHUNK_BYTES = 60 * 1024;
const PART_BYTES = 16 * 1024;

afterEach(stopEntry);

/** Sends a chunked body; most clients leave out the last chunk. */
function* chunkedBody(client: number, count: number, chunkBytes: number): Script {
  yield requestHead(`chunked-${client}`) + CHUNKED;
  yield* chunks(count, chunkBytes);
  if (client % ENDING === 0) yield LAST_CHUNK;
}

function* lengthBody(client: number, bytes: number, partBytes: number): Script {
  yield `${requestHead(`length-${client}`)}Content-Length: ${MAX_BODY_BYTES}\r\n\r\n`;
  yield* bodyParts(bytes, partBytes);
}

test('should keep within memory when callers leave bodies in large chunks without end', async () => {
  const { entry, target } = await startEntry();
  const count = Math.floor(MAX_BODY_BYTES / LARGE_CHUNK_BYTES);
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.front, CLIENTS, (client) => chunkedBody(client, count, LARGE_CHUNK_BYTES)),
  );
  expect(problems).toEqual([]);
});

test('should keep within memory when callers leave bodies in chunks of one byte without end', async () => {
  const { entry, target } = await startEntry();
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.front, 30, (client) => chunkedBody(client, 80_000, 1)),
  );
  expect(problems).toEqual([]);
});

test('should keep within memory when many callers send whole large bodies', async () => {
  const { entry, target } = await startEntry();
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.front, 150, (client) => lengthBody(client, MAX_BODY_BYTES, 64 * 1024)),
  );
  expect(problems).toEqual([]);
});

test('should keep within memory when callers stop short of the end of large bodies', async () => {
  const { entry, target } = await startEntry();
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.front, CLIENTS, (client) =>
      lengthBody(client, MAX_BODY_BYTES - (client % ENDING === 0 ? 0 : 1), PART_BYTES),
    ),
  );
  expect(problems).toEqual([]);
});

test('should serve a single body of the largest size in calm', async () => {
  const body = 'x'.repeat(MAX_BODY_BYTES);
  const { target } = await startEntry(answerWith(Buffer.from('read')));
  const { headers } = target.ordinary;
  const request = { ...target.ordinary, path: '/a/x', method: 'POST', body, answer: '' };
  expect(await send(request)).toEqual({ status: 200, body: 'read' });
  const chunked = { ...request, headers: { ...headers, 'transfer-encoding': 'chunked' } };
  expect(await send(chunked)).toEqual({ status: 200, body: 'read' });
});
