/**
 * Guards against a part of a prompt that crashes each server which begins to answer it. Requests with that part were
 * all unlike otherwise, so that entries took each of them for a new one: 82 servers crashed within 30 seconds.
 */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { chunkOf, events, streamHead, unframedStreamHead } from '../standins/scriptedBackend.js';
import type { ArrivedRequest, Script } from '../standins/scriptedBackend.js';
import type { CallerAnswer } from './fixtures/gatewayFixture.js';
import { CrashingFleet } from './fixtures/crashingFleet.js';
import { routeFixture } from './fixtures/servingFixture.js';
import { pause } from '../src/utils/timers.js';

const SERVERS = 12;
const RESTART_MILLISECONDS = 800;
const HARMFUL_REQUESTS = 36;
const HARMFUL_INTERVAL_MILLISECONDS = 200;
const SOUND_REQUESTS = 120;
const SOUND_INTERVAL_MILLISECONDS = 60;
/** All entries have to know of the part this long after its fifth crash, and let at most three requests pass. */
const CRASHES = 5;
const KNOWN_MILLISECONDS = 3_000;
const MAX_LATE_REQUESTS = 3;
/** More attempts than crashes that one request can meet. */
const STREAM = { routes: [routeFixture({ kind: 'stream', resumable: true, attempts: 6 })] };
const EVENTS = 10;
const EVENT_INTERVAL_MILLISECONDS = 40;

let fleet: CrashingFleet;
let requests: number;
/** When requests with the harmful part reached a server, in Unix milliseconds. */
let harmfulAt: number[];

beforeEach(() => {
  fleet = new CrashingFleet();
  requests = 0;
  harmfulAt = [];
});

afterEach(() => fleet.stop());

/** How an answer tells where it ends, and what a server sends of it before it crashes. */
interface Framing {
  head: (request: ArrivedRequest) => string;
  event: (id: number) => string;
  end: (request: ArrivedRequest) => void;
  beforeCrash: string;
}

const CHUNKED: Framing = {
  head: (request) => streamHead(request),
  event: (id) => chunkOf(events(id)),
  end: ({ socket }) => void socket.write('0\r\n\r\n'),
  beforeCrash: '',
};
const ENDS_WITH_CONNECTION: Framing = {
  head: unframedStreamHead,
  event: (id) => events(id),
  end: ({ socket }) => void socket.end(),
  beforeCrash: 'id: 1\ndata: ev',
};

/** Streams some events; a request with the part `bad` crashes the server once its answer has begun. */
function crashesOnPart(index: number, { head, event, end, beforeCrash }: Framing): Script {
  return (request) => {
    request.socket.write(head(request));
    if (request.headers.get('larklatch-prompt-parts')?.includes('bad')) {
      harmfulAt.push(Date.now());
      request.socket.write(beforeCrash);
      setTimeout(() => void fleet.crashAndRestart(index, RESTART_MILLISECONDS), EVENT_INTERVAL_MILLISECONDS);
      return;
    }
    let id = Number(request.headers.get('last-event-id') ?? 0);
    const timer = setInterval(() => {
      id++;
      request.socket.write(event(id));
      if (id < EVENTS) return;
      clearInterval(timer);
      end(request);
    }, EVENT_INTERVAL_MILLISECONDS);
  };
}

/** Sends a request that nothing but the shared parts has in common with any other. */
async function send(...sharedParts: string[]): Promise<CallerAnswer> {
  const own = (0xffff0000 + requests++).toString(16);
  const parts = [...sharedParts, own].map((part) => `${part}:100`).join(',');
  return await fleet.send(`prompt ${own}`, { headers: { 'larklatch-prompt-parts': parts } });
}

/** Sends a request, and once more if it is rejected as not run. */
async function sendTwice(...sharedParts: string[]): Promise<CallerAnswer> {
  const answer = await send(...sharedParts);
  if (answer.status !== 503) return answer;
  await pause(Number(answer.headers['retry-after']) * 1_000);
  return await send(...sharedParts);
}

async function sendSeries(
  count: number,
  intervalMilliseconds: number,
  sendOne: () => Promise<CallerAnswer>,
): Promise<CallerAnswer[]> {
  const answers: Promise<CallerAnswer>[] = [];
  for (let sent = 0; sent < count; sent++) {
    answers.push(sendOne());
    await pause(intervalMilliseconds);
  }
  return await Promise.all(answers);
}

for (const [which, parts, framing] of [
  ['first part crashes servers', ['bad', 'c0'], CHUNKED],
  ['second part crashes servers', ['c0', 'bad'], CHUNKED],
  ['second part crashes servers inside an event of unknown length', ['c0', 'bad'], ENDS_WITH_CONNECTION],
] as const) {
  test(`should stop requests whose ${which}, and serve those with the same other part`, async () => {
    await fleet.start(SERVERS, (index) => crashesOnPart(index, framing), STREAM);
    const [, sound] = await Promise.all([
      sendSeries(HARMFUL_REQUESTS, HARMFUL_INTERVAL_MILLISECONDS, () => send(...parts)),
      sendSeries(SOUND_REQUESTS, SOUND_INTERVAL_MILLISECONDS, () => sendTwice('c0')),
    ]);
    const knownAt = (fleet.crashedAt[CRASHES - 1] ?? Infinity) + KNOWN_MILLISECONDS;
    expect(harmfulAt.filter((at) => at > knownAt).length).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
    expect(sound.filter(({ status, whole }) => status !== 200 || !whole).length).toEqual(0);
    const rejected = await send(...parts);
    expect(rejected.status).toEqual(503);
  });
}
