/** Fetches from neighbours that take too long. */
import { afterEach, beforeEach, mock, test } from 'node:test';
import { expect } from 'earl';
import type { Member } from '../src/protocol/rolloutMessages.js';
import { Logger } from '../src/telemetry/logger.js';
import { Bitset } from '../src/utils/bitset.js';
import { ManualClock } from '../src/utils/clock.js';
import { sha256Hex } from '../src/utils/hash.js';
import { SeededRandom } from '../src/utils/random.js';
import { RateLimiter } from '../src/utils/rateLimiter.js';
import { ChunkPicker } from '../src/weights/chunkPicker.js';
import { ManifestIndex } from '../src/weights/manifestIndex.js';
import type { PeerChunk, PeerChunkClient } from '../src/weights/peerChunkClient.js';
import { PeerFetcher } from '../src/weights/peerFetcher.js';
import { PeerView } from '../src/weights/peerView.js';

const DATA = Buffer.from('weights');
const OVERDUE_MILLISECONDS = 800;

/** Requests for the one chunk; each is answered when the test calls `send`. */
interface OpenRequest {
  box: string;
  signal: AbortSignal;
  send: () => void;
}

let requests: OpenRequest[];
let stored: number;
let settled: () => Promise<void>;

beforeEach(() => {
  mock.timers.enable({ apis: ['setTimeout'] });
  requests = [];
  stored = 0;
  settled = async () => await new Promise((resolve) => setImmediate(resolve));
});

afterEach(() => mock.timers.reset());

async function* bodyOf(data: Buffer): AsyncIterable<Buffer> {
  yield data;
}

/** Starts to fetch one chunk that each of `boxes` holds. */
function startFetcher(boxes: readonly string[]): PeerFetcher {
  const clock = new ManualClock();
  const held = new Bitset(1);
  const random = new SeededRandom(1);
  const importers = (): undefined => undefined;
  const limits = { importStepMilliseconds: 600, fetchesPerPeer: 1 };
  const picker = new ChunkPicker({ box: 'self', held, clock, random, importers, ...limits });
  for (const box of [...boxes, 'without the chunk', 'without it too']) {
    const peer = new PeerView(box, false, 1);
    peer.connected = true;
    picker.addPeer(peer);
    if (boxes.includes(box)) picker.markHeld(peer, 0);
  }
  const open = async (
    member: Member,
    _rollout: string,
    _chunk: number,
    signal: AbortSignal,
  ): Promise<PeerChunk> =>
    await new Promise((resolve, reject) => {
      signal.addEventListener('abort', () => reject(new Error('aborted')));
      const send = (): void => resolve({ body: bodyOf(DATA), uploadQueue: 0 });
      requests.push({ box: member.box, signal, send });
    });
  const fetcher = new PeerFetcher({
    rollout: 'r',
    index: new ManifestIndex({
      model: 'm',
      version: '1',
      chunks: [{ digest: sha256Hex(DATA), size: DATA.length }],
    }),
    picker,
    client: { open } as unknown as PeerChunkClient,
    bounds: {
      stallMilliseconds: 5_000,
      incoming: new RateLimiter(0),
      fetchesAtOnce: 1,
      importStepMilliseconds: 600,
    },
    counts: { originBytes: 0, peerBytes: 0, crossDataCentreBytes: 0, corruptChunks: 0, overdueChunks: 0 },
    clock,
    random,
    logger: new Logger('test'),
    signal: new AbortController().signal,
    member: (box) => ({ box, dataCentre: 'north', address: '127.0.0.1', httpPort: 1, controlPort: 2 }),
    isComplete: () => held.full,
    mayFetch: () => true,
    store: (chunk) => {
      held.add(chunk);
      stored++;
    },
  });
  fetcher.fill();
  return fetcher;
}

// Guards against a box that waits for seconds for a chunk from a throttled box while others hold it too.
test('should fetch an overdue chunk from another neighbour, and end the first fetch when it has arrived', async () => {
  const fetcher = startFetcher(['a', 'b']);
  expect(requests.length).toEqual(1);
  mock.timers.tick(OVERDUE_MILLISECONDS);
  expect(new Set(requests.map(({ box }) => box)).size).toEqual(2);
  expect(fetcher.fetching).toEqual(1);
  requests[1].send();
  await settled();
  expect(requests[0].signal.aborted).toEqual(true);
  expect(stored).toEqual(1);
  await settled();
  expect(fetcher.fetching).toEqual(0);
});

test('should take an overdue chunk that arrives first after all', async () => {
  const fetcher = startFetcher(['a', 'b']);
  mock.timers.tick(OVERDUE_MILLISECONDS);
  requests[0].send();
  await settled();
  expect(requests[1].signal.aborted).toEqual(true);
  await settled();
  expect([stored, fetcher.fetching, requests.length]).toEqual([1, 0, 2]);
});

// A second fetch from the same neighbour would only take more of its slow link.
test('should go on waiting for an overdue chunk that no other neighbour holds', () => {
  startFetcher(['a']);
  mock.timers.tick(OVERDUE_MILLISECONDS);
  expect(requests.length).toEqual(1);
});
