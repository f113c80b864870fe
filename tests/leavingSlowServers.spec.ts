/** Requests to a leaving entry whose servers become slower, or stand still, after it has taken them. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { pause } from '../src/utils/timers.js';
import { answerBytes, chunkOf, events, streamHead } from '../standins/scriptedBackend.js';
import type { Script } from '../standins/scriptedBackend.js';
import type { CallerAnswer } from './fixtures/gatewayFixture.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { STREAM_SERVICE, routeFixture, servingConfiguration } from './fixtures/servingFixture.js';
import { until } from './fixtures/until.js';

const EVENTS = 40;
const FAST_MILLISECONDS = 20;
const SLOW_MILLISECONDS = 100;
const DRAIN = { drainMilliseconds: 3_000 };
const SERVICES = [STREAM_SERVICE];
const LONG_STREAM = routeFixture({ kind: 'stream', timeoutMilliseconds: 6_000 });

let fixture: GatewayFixture;
/** Milliseconds between the events of all streams; infinite while the servers stand still. */
let pauseMilliseconds: number;

beforeEach(() => {
  fixture = new GatewayFixture();
  pauseMilliseconds = FAST_MILLISECONDS;
});

afterEach(() => fixture.stop());

/** Sends events at the pace that holds when each of them is due. */
const stream: Script = (request) => {
  const { socket } = request;
  let sent = 0;
  let sentAt = performance.now();
  socket.write(streamHead(request));
  const timer = setInterval(() => {
    if (performance.now() - sentAt < pauseMilliseconds) return;
    sentAt = performance.now();
    socket.write(chunkOf(events(++sent)));
    if (sent < EVENTS) return;
    clearInterval(timer);
    socket.write('0\r\n\r\n');
  }, FAST_MILLISECONDS / 2);
  socket.once('close', () => clearInterval(timer));
};

async function askForStream(): Promise<CallerAnswer> {
  return await fixture.request({ headers: { 'larklatch-tokens': `100,${EVENTS * 2}` } });
}

async function askForSureStream(): Promise<CallerAnswer> {
  return await fixture.request({ headers: { 'larklatch-deadline-milliseconds': '2500' } });
}

/** Sends a request every 100 ms until the servers become slower 900 ms after the entry has begun to leave. */
async function endsAfterSlowdown(send: () => Promise<CallerAnswer>, slowPause: number): Promise<string[]> {
  const stopped = fixture.gateway.stop();
  const ends: Promise<string>[] = [];
  for (let count = 0; count < 9; count++) {
    ends.push(send().then(endOf, () => 'no answer'));
    await pause(100);
  }
  pauseMilliseconds = slowPause;
  const all = await Promise.all(ends);
  await stopped;
  return all;
}

function endOf({ status, whole }: CallerAnswer): string {
  return whole ? String(status) : `${status} cut`;
}

/** Guards against streams that are cut off because their servers became slower than when they were admitted. */
test('should cut no stream whose server becomes slower', async () => {
  await fixture.start([stream, stream], { routes: [LONG_STREAM], services: SERVICES }, DRAIN);
  await Promise.all([askForStream(), askForStream()]);
  const ends = await endsAfterSlowdown(askForStream, SLOW_MILLISECONDS);
  expect(ends.filter((end) => !['200', '503'].includes(end))).toEqual([]);
});

/** Guards against streams that are cut off because their servers stand still. */
test('should cut no stream whose server stands still', async () => {
  await fixture.start([stream, stream], { routes: [LONG_STREAM], services: SERVICES }, DRAIN);
  await Promise.all([askForStream(), askForStream()]);
  const ends = await endsAfterSlowdown(askForStream, Number.POSITIVE_INFINITY);
  expect(ends.filter((end) => !['200', '503'].includes(end))).toEqual([]);
});

test('should end whole what it takes by its deadline', async () => {
  // far enough from the close for requests that are read late
  const drain = { drainMilliseconds: 6_000 };
  await fixture.start([stream, stream, stream, stream], { routes: [LONG_STREAM], services: SERVICES }, drain);
  const stopped = fixture.gateway.stop();
  const ends = await Promise.all(Array.from({ length: 9 }, askForSureStream));
  expect(ends.map(endOf)).toEqual(Array.from({ length: 9 }, () => '200'));
  await stopped;
});

/** Guards against sending the beginning of a stream that may run again and does not end before the close. */
test('should send nothing of a held stream whose server stands still', async () => {
  const routes = [{ ...LONG_STREAM, resumable: true, attempts: 1 }];
  await fixture.start([stream, stream], { routes, services: SERVICES }, DRAIN);
  pauseMilliseconds = 100;
  const ends = await endsAfterSlowdown(askForStream, Number.POSITIVE_INFINITY);
  expect(ends).toEqual(['502', ...Array.from({ length: 8 }, () => '503')]);
});

/** Guards against requests that may run only once and get no answer of their server when the entry closes. */
test('should break off no call that may run once', async () => {
  let answerMilliseconds = 20;
  const call: Script = (request) =>
    void setTimeout(() => request.socket.write(answerBytes(request)), answerMilliseconds);
  const once = routeFixture({ kind: 'once', timeoutMilliseconds: 6_000 });
  await fixture.start([call], { routes: [once], services: SERVICES }, DRAIN);
  for (let count = 0; count < 5; count++) await fixture.request();
  const stopped = fixture.gateway.stop();
  answerMilliseconds = 4_000;
  expect(endOf(await fixture.request())).toEqual('503');
  await stopped;
});

test('should log on what a request was taken while leaving, and what was left at its end', async () => {
  await fixture.start([stream], { routes: [LONG_STREAM], services: SERVICES }, DRAIN);
  const before = fixture.request({ headers: { 'larklatch-request-id': 'before' } });
  await until(() => fixture.arrivals === 1);
  const stopped = fixture.gateway.stop();
  const headers = { 'larklatch-request-id': 'sure', 'larklatch-deadline-milliseconds': '2000' };
  expect(endOf(await fixture.request({ headers }))).toEqual('200');
  await Promise.all([before, stopped]);
  const takenOn = (id: string): unknown => ended(id).takenOn;
  expect([takenOn('before'), takenOn('sure')]).toEqual(['before leaving', 'deadline']);
  expect(Number(ended('sure').closesInMilliseconds)).toBeGreaterThan(0);
});

/** The fields of the line about the end of a request. */
function ended(id: string): Record<string, unknown> {
  const lines = fixture.lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  return lines.find(({ step, request }) => request === id && step === 'request.answered') ?? {};
}

/** Guards against a reload, or a configuration without the route and the service, that ends the streams that run. */
test('should end a stream whole whose route a new configuration removes', async () => {
  await fixture.start([stream], { routes: [LONG_STREAM], services: SERVICES });
  const asked = askForStream();
  await until(() => fixture.arrivals === 1);
  fixture.gateway.reload();
  fixture.store.set('configuration', {
    main: servingConfiguration({ version: 2, routes: [], services: [], customers: [] }),
  });
  await until(() => fixture.lines.some((line) => line.includes('"version":2')));
  expect(endOf(await asked)).toEqual('200');
});
