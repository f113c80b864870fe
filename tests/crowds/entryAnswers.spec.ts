/** Answers that callers do not read, and more callers than an entry may have connections. */
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import type { ArrivedRequest } from '../../standins/scriptedBackend.js';
import { CrowdTrial } from '../fixtures/crowdTrial.js';
import { answerHead, answerWith, requestHead, startEntry, stopEntry } from '../fixtures/crowdedEntry.js';

const LONG_ANSWER = Buffer.alloc(4 * 1024 * 1024, 'x');
const EVENTS = 100_000;
const EVENT = 'data: x\n\n';
const STREAMS = { type: 'streaming', itl_target_ms: 300, timeout_ms: 20_000 };
const DESCRIPTORS = 600;
const CONNECTIONS = 1_000;

const smallEvents = Buffer.from(EVENT.repeat(EVENTS));
const smallChunks = Buffer.from(`${EVENT.length.toString(16)}\r\n${EVENT}\r\n`.repeat(EVENTS));

afterEach(stopEntry);

function getHead(client: number): string {
  return `${requestHead(`unread-${client}`, { method: 'GET', path: `/a/${client}` })}\r\n`;
}

/** Sends a stream; the last of its events never comes. */
function stream(framing: string, body: Buffer): (request: ArrivedRequest) => void {
  return (request) => {
    request.socket.write(`${answerHead(request)}Content-Type: text/event-stream\r\n${framing}\r\n\r\n`);
    request.socket.write(body);
  };
}

test('should keep within memory when callers do not read long answers', async () => {
  const { entry, target } = await startEntry(answerWith(LONG_ANSWER));
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.front, 500, (client) => [getHead(client)]),
  );
  expect(problems).toEqual([]);
});

test('should keep within memory when callers do not read streams of small chunks', async () => {
  const script = stream('Transfer-Encoding: chunked', smallChunks);
  const { entry, target } = await startEntry(script, { route: STREAMS });
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.front, 500, (client) => [getHead(client)]),
  );
  expect(problems).toEqual([]);
});

test('should keep within memory when callers do not read streams of small events without length', async () => {
  const script = stream('Connection: close', smallEvents);
  const { entry, target } = await startEntry(script, { route: STREAMS });
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.front, 500, (client) => [getHead(client)]),
  );
  expect(problems).toEqual([]);
});

test('should keep within its descriptors when callers connect and send nothing', async () => {
  const { entry, target } = await startEntry(undefined, { descriptors: DESCRIPTORS });
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.front, CONNECTIONS, () => []),
  );
  expect(problems).toEqual([]);
});

test('should keep within its descriptors when callers connect and send one byte', async () => {
  const { entry, target } = await startEntry(undefined, { descriptors: DESCRIPTORS });
  const problems = await new CrowdTrial(target).play((crowd) =>
    crowd.connect(entry.front, CONNECTIONS, () => ['G']),
  );
  expect(problems).toEqual([]);
});
