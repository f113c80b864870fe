/** Requests to an entry that has been asked to stop. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { pause } from '../src/utils/timers.js';
import { answers, chunkOf, events, streamHead } from '../standins/scriptedBackend.js';
import type { Script } from '../standins/scriptedBackend.js';
import type { CallerAnswer } from './fixtures/gatewayFixture.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { routeFixture } from './fixtures/servingFixture.js';
import { until } from './fixtures/until.js';

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

const LONG_ROUTE = routeFixture({ kind: 'stream', resumable: true, timeoutMilliseconds: 6_000 });
const STREAM = { routes: [LONG_ROUTE] };
const SERVICE = { name: 'plain', maximumConnections: 100, origin: undefined };
const ENGINE = {
  slots: 16,
  models: ['model'],
  stepMilliseconds: 5,
  readTokensPerSecond: 30_000,
  meanPromptTokens: 100,
  meanAnswerTokens: 100,
  tokensPerEvent: 2,
};

/** Sends `count` events, one every `milliseconds`. */
function streamOf(count: number, milliseconds: number): Script {
  return (request) => {
    request.socket.write(streamHead(request));
    let sent = 0;
    const timer = setInterval(() => {
      request.socket.write(chunkOf(events(++sent)));
      if (sent < count) return;
      clearInterval(timer);
      request.socket.write('0\r\n\r\n');
    }, milliseconds);
    request.socket.once('close', () => clearInterval(timer));
  };
}

/** Sends a request whose answer has at most `tokens` tokens. */
async function askFor(tokens: number): Promise<CallerAnswer> {
  return await fixture.request({ headers: { 'larklatch-tokens': `100,${tokens}` } });
}

/** How the requests ended that were sent one after the other until the entry accepted no more. */
async function endsWhileLeaving(send: () => Promise<CallerAnswer>, milliseconds: number): Promise<string[]> {
  const ends: Promise<string>[] = [];
  const stopped = fixture.gateway.stop();
  let hasStopped = false;
  void stopped.then(() => (hasStopped = true));
  while (!hasStopped) {
    ends.push(send().then(endOf, () => 'not accepted'));
    await pause(milliseconds);
  }
  return await Promise.all(ends);
}

function endOf({ status, whole }: CallerAnswer): string {
  return whole ? String(status) : `${status} cut`;
}

function distinct(ends: readonly string[]): string[] {
  return [...new Set(ends)].sort();
}

/** Guards against a leaving entry that takes streams which it will cut off when it closes. */
test('should cut no stream that it takes while leaving, and reject the others', async () => {
  await fixture.start(
    Array.from({ length: 4 }, () => streamOf(45, 80)),
    { ...STREAM, services: [{ ...SERVICE, engine: ENGINE }] },
    { drainMilliseconds: 5_000 },
  );
  const ends = await endsWhileLeaving(() => askFor(90), 150);
  expect(distinct(ends)).toEqual(['200', '503', 'not accepted']);
  expect(ends.filter((end) => end === '200').length).toBeGreaterThan(3);
});

/** Guards against rejecting everything: what ends long before the close is served until the entry stops listening. */
test('should serve streams that end in time until it stops listening', async () => {
  await fixture.start(
    [streamOf(5, 20)],
    { ...STREAM, services: [{ ...SERVICE, engine: ENGINE }] },
    { drainMilliseconds: 3_000 },
  );
  const ends = await endsWhileLeaving(() => askFor(10), 100);
  expect(ends.filter((end) => end === '200').length).toBeGreaterThan(10);
  expect(ends.filter((end) => end.endsWith('cut'))).toEqual([]);
});

/** Guards against the first stream after a start, whose pace nothing has shown yet, being cut off. */
test('should reject a stream without having sent any of it when its first events come too slowly', async () => {
  await fixture.start(
    [streamOf(50, 100)],
    { ...STREAM, services: [{ ...SERVICE, engine: ENGINE }] },
    { drainMilliseconds: 3_000 },
  );
  const stopped = fixture.gateway.stop();
  const first = askFor(100);
  await until(() => fixture.arrivals === 1);
  const second = await askFor(100);
  expect([endOf(await first), endOf(second)]).toEqual(['502', '503']);
  expect(fixture.arrivals).toEqual(1);
  await stopped;
});

test('should serve requests without a known length once recent ones have shown how long they take', async () => {
  await fixture.start([answers()]);
  for (let request = 0; request < 5; request++) await fixture.request();
  const stopped = fixture.gateway.stop();
  expect((await fixture.request()).status).toEqual(200);
  await stopped;
});
