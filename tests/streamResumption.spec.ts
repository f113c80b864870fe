/** Resumption of a stream that has begun, when its server disconnects and no other server takes it immediately. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { answers, chunkOf, events, streamHead } from '../standins/scriptedBackend.js';
import type { ArrivedRequest, Script } from '../standins/scriptedBackend.js';
import type { CallerExchange } from '../src/serving/callerExchange.js';
import { StreamRelay } from '../src/serving/streamRelay.js';
import { ManualClock } from '../src/utils/clock.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { routeFixture } from './fixtures/servingFixture.js';
import { until } from './fixtures/until.js';

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

const STREAM_ROUTE = routeFixture({ kind: 'stream', resumable: true });
const STREAM = { routes: [STREAM_ROUTE] };
/** A retry limit that no test reaches. */
const UNLIMITED_RETRIES = { retrySlack: 10_000 };
const LAST_EVENT = 5;
const ALL_EVENTS = events(1, 2, 3, 4, 5);
const rejects = answers({ status: 503, headers: { 'larklatch-not-run': '1' }, seal: null });

/** Sends two events and keeps the stream open. */
const sendsTwoEvents: Script = (request) => {
  request.socket.write(streamHead(request) + chunkOf(events(1, 2)));
};

/** Sends two events and closes the connection. */
const disconnects: Script = (request) => {
  sendsTwoEvents(request);
  request.socket.end();
};

/** Sends all events after the last event id of the request. */
const resumes: Script = (request) => {
  const ids: number[] = [];
  for (let id = Number(request.headers.get('last-event-id') ?? 0) + 1; id <= LAST_EVENT; id++) ids.push(id);
  request.socket.write(streamHead(request) + chunkOf(events(...ids)) + '0\r\n\r\n');
};

/**
 * Answers the requests that arrive at any server with the scripts in turn; the last one answers all further
 * requests.
 */
function inTurn(...scripts: Script[]): Script {
  let arrived = 0;
  return (request) => scripts[Math.min(arrived++, scripts.length - 1)](request);
}

/**
 * Guards against cutting off a stream that has begun although it could be resumed. After its server disconnected, a
 * second server rejected the stream as not run, and the stream was given up 4 ms later, with two seconds left and
 * servers getting free slots every few milliseconds. The rejected send had used up one of the two attempts of the
 * route, and a stream without a next attempt was ended like a new request.
 */
test('should resume a begun stream on a server that rejected it before', async () => {
  const script = inTurn(disconnects, rejects, rejects, resumes);
  await fixture.start([script, script], STREAM, UNLIMITED_RETRIES);
  const answer = await fixture.request();
  expect([answer.body, answer.whole]).toEqual([ALL_EVENTS, true]);
  expect(fixture.arrivals).toEqual(4);
});

test('should resume a begun stream when new requests have used all the retries available to them', async () => {
  const surge = routeFixture({ name: 'surge', pathPrefix: '/b/' });
  const begun = inTurn(disconnects, resumes);
  const script: Script = (request) => (request.path.startsWith('/b/') ? rejects : begun)(request);
  const settings = { retryPercent: 100, retrySlack: 0 };
  await fixture.start([script, script], { routes: [STREAM_ROUTE, surge] }, settings);
  for (let request = 0; request < 20; request++) await fixture.request({ path: '/b/x' });
  const answer = await fixture.request();
  expect([answer.body, answer.whole]).toEqual([ALL_EVENTS, true]);
});

test('should resume a begun stream on a server that is too slow for the first answer of a new request', async () => {
  const first: ArrivedRequest[] = [];
  const holds: Script = () => undefined;
  const script = inTurn((request) => (first.push(request), sendsTwoEvents(request)), holds, holds, resumes);
  // with this objective a single queued prompt makes the first answer of a new request too late
  const routes = [routeFixture({ kind: 'stream', resumable: true, objectiveMilliseconds: 1 })];
  await fixture.startEngines([script, script], { routes });
  const asked = fixture.request();
  await until(() => fixture.arrivals === 1);
  const others = new AbortController();
  for (let number = 2; fixture.arrivals < 3; number++) {
    const name = `request-${number}`;
    const headers = { 'larklatch-request-id': name };
    void fixture.request({ headers, signal: others.signal }).catch(() => undefined);
    await until(() => fixture.lines.some((line) => line.includes(name)));
  }
  expect(fixture.backends.map(({ arrived }) => arrived.length).sort()).toEqual([1, 2]);
  first[0].socket.resetAndDestroy();
  const answer = await asked;
  others.abort();
  expect([answer.body, answer.whole]).toEqual([ALL_EVENTS, true]);
});

/** Whether a log line contains all of the parts. */
function logged(...parts: string[]): boolean {
  return fixture.lines.some((line) => parts.every((part) => line.includes(part)));
}

/** How often a request was sent to any server. */
function arrivalsOf(id: string): number {
  const arrived = fixture.backends.flatMap((backend) => backend.arrived);
  return arrived.filter(({ headers }) => headers.get('larklatch-request-id') === id).length;
}

test('should resume a begun stream on a server that rejected it before it had begun', async () => {
  const script = inTurn(rejects, disconnects, resumes);
  await fixture.start([script, script], STREAM, UNLIMITED_RETRIES);
  const answer = await fixture.request();
  expect([answer.body, answer.whole, fixture.arrivals]).toEqual([ALL_EVENTS, true, 3]);
});

test('should cut a begun stream when its attempts are used up', async () => {
  const script = inTurn(disconnects, disconnects, resumes);
  await fixture.start([script, script, script], STREAM);
  const answer = await fixture.request();
  expect([answer.status, answer.whole, fixture.arrivals]).toEqual([200, false, 2]);
  expect([logged('request.cut', 'attempts used'), logged('request.waiting')]).toEqual([true, false]);
});

test('should refuse a stream that has not begun without waiting, as not run', async () => {
  await fixture.start([rejects, rejects, rejects], STREAM);
  const { status, headers } = await fixture.request();
  expect([status, headers['retry-after'] !== undefined, fixture.arrivals]).toEqual([503, true, 2]);
  expect(logged('request.waiting')).toEqual(false);
});

/** Disconnects both streams; rejects the first one from then on, and resumes the second one after one rejection. */
function onlySecondResumes(): Script {
  const first = inTurn(disconnects, rejects);
  const second = inTurn(disconnects, rejects, resumes);
  return (request) => (request.headers.get('larklatch-request-id') === 'request-1' ? first : second)(request);
}

test('should send nothing more for a waiting stream once its caller has disconnected', async () => {
  const script = onlySecondResumes();
  await fixture.start([script, script], STREAM, UNLIMITED_RETRIES);
  const caller = new AbortController();
  void fixture.request({ signal: caller.signal }).catch(() => undefined);
  await until(() => logged('request.waiting'));
  caller.abort();
  await until(() => logged('request.caller-gone'));
  const sent = arrivalsOf('request-1');
  const other = await fixture.request({ headers: { 'larklatch-request-id': 'request-2' } });
  expect([other.whole, arrivalsOf('request-1')]).toEqual([true, sent]);
});

test('should cut a waiting stream at its timeout, and send nothing more for it', async () => {
  const script = onlySecondResumes();
  const routes = [routeFixture({ kind: 'stream', resumable: true, timeoutMilliseconds: 600 })];
  await fixture.start([script, script], { routes }, UNLIMITED_RETRIES);
  const answer = await fixture.request();
  expect([answer.status, answer.whole, logged('request.waiting')]).toEqual([200, false, true]);
  expect(logged('request.cut', '"noAttempt"')).toEqual(true);
  const sent = arrivalsOf('request-1');
  const other = await fixture.request({ headers: { 'larklatch-request-id': 'request-2' } });
  expect([other.whole, arrivalsOf('request-1')]).toEqual([true, sent]);
});

test('should end a waiting stream when the entry stops', async () => {
  const script = inTurn(disconnects, rejects);
  await fixture.start([script, script], STREAM, UNLIMITED_RETRIES);
  const asked = fixture.request();
  await until(() => logged('request.waiting'));
  await fixture.gateway.stop();
  const answer = await asked;
  expect([answer.status, answer.whole]).toEqual([200, false]);
  await until(() => logged('request.cut', '"noAttempt":"leaving"'));
});

test('should let a begun stream wait while no server can be reached', async () => {
  const closesOtherAndDisconnects: Script = (request) => {
    fixture.backends.find((backend) => backend.arrived.length === 0)!.close();
    disconnects(request);
  };
  const script = inTurn(closesOtherAndDisconnects, resumes);
  await fixture.start([script, script], STREAM, UNLIMITED_RETRIES);
  const asked = fixture.request();
  await until(() => logged('request.waiting', 'no server'));
  const closed = fixture.backends.findIndex((backend) => backend.arrived.length === 0);
  const found = fixture.lines.find(
    (line) => line.includes('server.found') && line.includes(`server-${closed}`),
  );
  const [, port] = /"address":"127\.0\.0\.1:(\d+)"/.exec(found ?? '') ?? [];
  await fixture.backends[closed].listen('127.0.0.1', Number(port));
  const answer = await asked;
  expect([answer.body, answer.whole]).toEqual([ALL_EVENTS, true]);
});

/** Reports the server that has the only request as switching, and the other one as serving. */
function switchFirst(): void {
  const first = fixture.backends.findIndex((backend) => backend.arrived.length === 1);
  fixture.sendStatus(first, { state: 'switching' });
  fixture.sendStatus(1 - first, { state: 'serving' });
}

test('should resume a stream whose server disconnects after the second server rejected the handover', async () => {
  let first: ArrivedRequest | undefined;
  const script = inTurn((request) => sendsTwoEvents((first = request)), rejects, resumes);
  await fixture.startEngines([script, script], STREAM);
  const asked = fixture.request();
  await until(() => fixture.arrivals === 1);
  switchFirst();
  await until(() => logged('request.rejected'));
  first!.socket.end();
  const answer = await asked;
  expect([answer.body, answer.whole, fixture.arrivals]).toEqual([ALL_EVENTS, true, 3]);
});

test('should resume a stream whose server disconnects before the second server rejects the handover', async () => {
  let first: ArrivedRequest | undefined;
  const rejectsLater: Script = (request) => {
    first!.socket.end();
    void until(() => logged('request.attempt-failed')).then(() => rejects(request));
  };
  const script = inTurn((request) => sendsTwoEvents((first = request)), rejectsLater, resumes);
  await fixture.startEngines([script, script], STREAM);
  const asked = fixture.request();
  await until(() => fixture.arrivals === 1);
  switchFirst();
  const answer = await asked;
  expect([answer.body, answer.whole, fixture.arrivals]).toEqual([ALL_EVENTS, true, 3]);
});

test('should not report a stream as not run when the server of a timed-out handover may have run it', async () => {
  let first: ArrivedRequest | undefined;
  const holds: Script = () => undefined;
  const script = inTurn((request) => void (first = request), holds);
  await fixture.startEngines([script, script], STREAM);
  const asked = fixture.request();
  await until(() => fixture.arrivals === 1);
  switchFirst();
  await until(() => logged('request.attempt-failed', 'handover was silent'));
  rejects(first!);
  expect([(await asked).status, fixture.arrivals]).toEqual([502, 2]);
});

test('should report a stream as not run when both its server and the server of its handover rejected it', async () => {
  let first: ArrivedRequest | undefined;
  const bothReject: Script = (request) => {
    rejects(first!);
    void until(() => logged('request.rejected')).then(() => rejects(request));
  };
  const script = inTurn((request) => void (first = request), bothReject);
  await fixture.startEngines([script, script], STREAM);
  const asked = fixture.request();
  await until(() => fixture.arrivals === 1);
  switchFirst();
  expect([(await asked).status, fixture.arrivals]).toEqual([503, 2]);
});

test('should measure the silence of a stream from the answer of its current server', () => {
  const clock = new ManualClock();
  const exchange = { begin: () => undefined, write: () => true } as unknown as CallerExchange;
  const relay = new StreamRelay(exchange, '', clock);
  clock.advance(1);
  relay.begin(200, {});
  relay.push(Buffer.from(events(1)));
  clock.advance(2_000);
  expect(relay.silentFor()).toEqual(2_000);
  relay.begin(200, {});
  clock.advance(100);
  expect(relay.silentFor()).toEqual(100);
  relay.push(Buffer.from(events(2)));
  expect([relay.silentFor(), relay.longestPause]).toEqual([0, 2_100]);
});
