/** What the clients of a crowd send. None of it is forbidden to a client; together it strains an entry. */
import { CROWD_LIMITS } from './soakBounds.js';
import { CUSTOMERS, HOST } from './soakConfiguration.js';

/**
 * - `one-byte-chunks`: bodies in chunks of one byte.
 * - `large-chunks`: bodies in large chunks.
 * - `long-bodies`: bodies of the greatest size that is allowed, with a length.
 * - `unread-answers`: many small requests sent ahead of their answers, which nobody reads.
 * - `unread-uploads`: the same with a few long bodies.
 * - `endless-heads`: long heads.
 * - `idle`: connections that send nothing.
 */
export const CROWD_SHAPES = [
  'one-byte-chunks',
  'large-chunks',
  'long-bodies',
  'unread-answers',
  'unread-uploads',
  'endless-heads',
  'idle',
] as const;
export type CrowdShape = (typeof CROWD_SHAPES)[number];

const ONE_BYTE_CHUNKS = 24_000;
const ONE_BYTE_CHUNKS_PER_PART = 4_000;
const PART_BYTES = 64 * 1024;
const REQUESTS_AHEAD = 400;
const UPLOADS_AHEAD = 8;
const UPLOAD_BYTES = 512 * 1024;
/** Size of each answer that nobody reads. */
const ANSWER_BYTES = 64 * 1024;
/** Less than entries take for the head of a request. */
const HEAD_BYTES = 60_000;
const HEAD_LINE_BYTES = 1_000;
const DEADLINE_MILLISECONDS = 4_000;

/** Whether the clients read what an entry answers. */
export function readsAnswers(shape: CrowdShape): boolean {
  return shape !== 'unread-answers' && shape !== 'unread-uploads';
}

/**
 * Returns what a client sends, part by part. A client that `completes` sends all of its request, any other one stops
 * just before its end. `newId` returns the id of a request.
 */
export function partsOf(shape: CrowdShape, completes: boolean, newId: () => string): Iterable<string> {
  switch (shape) {
    case 'one-byte-chunks':
      return oneByteChunks(completes, newId());
    case 'large-chunks':
      return largeChunks(completes, newId());
    case 'long-bodies':
      return longBody(completes, newId());
    case 'unread-answers':
      return requestsAhead(REQUESTS_AHEAD, 1, newId);
    case 'unread-uploads':
      return requestsAhead(UPLOADS_AHEAD, UPLOAD_BYTES, newId);
    case 'endless-heads':
      return longHead(completes, newId());
    case 'idle':
      return [];
  }
}

function* oneByteChunks(completes: boolean, id: string): Iterable<string> {
  yield `${upload(id)}transfer-encoding: chunked\r\n\r\n`;
  for (let sent = 0; sent < ONE_BYTE_CHUNKS; sent += ONE_BYTE_CHUNKS_PER_PART)
    yield '1\r\nx\r\n'.repeat(ONE_BYTE_CHUNKS_PER_PART);
  if (completes) yield '0\r\n\r\n';
}

function* largeChunks(completes: boolean, id: string): Iterable<string> {
  yield `${upload(id)}transfer-encoding: chunked\r\n\r\n`;
  for (const part of bodyParts(CROWD_LIMITS.bodyBytes)) yield `${part.length.toString(16)}\r\n${part}\r\n`;
  if (completes) yield '0\r\n\r\n';
}

function* longBody(completes: boolean, id: string): Iterable<string> {
  yield `${upload(id)}content-length: ${CROWD_LIMITS.bodyBytes}\r\n\r\n`;
  yield* bodyParts(CROWD_LIMITS.bodyBytes - 1);
  if (completes) yield 'x';
}

function* bodyParts(bytes: number): Iterable<string> {
  for (let sent = 0; sent < bytes; sent += PART_BYTES) yield 'x'.repeat(Math.min(PART_BYTES, bytes - sent));
}

function* requestsAhead(count: number, bodyBytes: number, newId: () => string): Iterable<string> {
  const body = 'x'.repeat(bodyBytes);
  const path = `/turns/x?bytes=${ANSWER_BYTES}`;
  for (let sent = 0; sent < count; sent++)
    yield `${head('POST', path, newId())}content-length: ${body.length}\r\n\r\n${body}`;
}

function* longHead(completes: boolean, id: string): Iterable<string> {
  yield head('GET', '/boards/x', id);
  for (let line = 0; line < HEAD_BYTES / HEAD_LINE_BYTES; line++)
    yield `x-${line}: ${'x'.repeat(HEAD_LINE_BYTES)}\r\n`;
  if (completes) yield '\r\n';
}

function upload(id: string): string {
  return head('POST', '/turns/x', id);
}

/** Returns the head of a request without its last empty line. */
function head(method: string, path: string, id: string): string {
  return [
    `${method} ${path} HTTP/1.1`,
    `host: ${HOST}`,
    `x-attempt-id: ${id}`,
    `x-deadline-ms: ${DEADLINE_MILLISECONDS}`,
    `authorization: Bearer ${CUSTOMERS[1].api_keys[0]}`,
    '',
  ].join('\r\n');
}
