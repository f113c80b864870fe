/** What becomes of a stream that has begun when its server breaks off and no other one takes it at once. */
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
/** So many retries that they bound nothing that a test does. */
const PLENTY = { retrySlack: 10_000 };
const LAST_EVENT = 5;
const WHOLE = events(1, 2, 3, 4, 5);
const rejects = answers({ status: 503, headers: { 'larklatch-not-run': '1' }, seal: null });

/** Sends two events and keeps the stream open. */
const begins: Script = (request) => {
  request.socket.write(streamHead(request) + chunkOf(events(1, 2)));
};

/** Sends two events and breaks off. */
const breaksOff: Script = (request) => {
  begins(request);
  request.socket.end();
};

/** Sends all events after the last one that the caller has seen. */
const goesOn: Script = (request) => {
  const ids: number[] = [];
  for (let id = Number(request.headers.get('last-event-id') ?? 0) + 1; id <= LAST_EVENT; id++) ids.push(id);
  request.socket.write(streamHead(request) + chunkOf(events(...ids)) + '0\r\n\r\n');
};

/** Answers the arrivals at all servers in turn; the last script answers all further ones. */
function inTurn(...scripts: Script[]): Script {
  let arrived = 0;
  return (request) => scripts[Math.min(arrived++, scripts.length - 1)](request);
}

/**
 * Symptom: a caller's connection was closed in the middle of a stream, though the caller had two seconds left. Sequence: the
 * first server broke its answer off; 1 ms later the second one was asked for the rest; after 71 ms it rejected the request with
 * its word that it had not run; 4 ms later the caller was cut off, while places came free every few milliseconds. Cause: a
 * stream that has begun was given up as soon as there was no next attempt at that moment, as a new request is refused; here
 * because a send that the server says it has not run used up one of the route's two attempts.
 */
test('should go on with a begun stream once a server has room that rejected it as not run', async () => {
  const script = inTurn(breaksOff, rejects, rejects, goesOn);
  await fixture.start([script, script], STREAM, PLENTY);
  const answer = await fixture.request();
  expect([answer.body, answer.whole]).toEqual([WHOLE, true]);
  expect(fixture.arrivals).toEqual(4);
});

test('should go on with a begun stream when new requests have taken all the retries they may', async () => {
  const surge = routeFixture({ name: 'surge', pathPrefix: '/b/' });
  const begun = inTurn(breaksOff, goesOn);
  const script: Script = (request) => (request.path.startsWith('/b/') ? rejects : begun)(request);
  const settings = { retryPercent: 100, retrySlack: 0 };
  await fixture.start([script, script], { routes: [STREAM_ROUTE, surge] }, settings);
  for (let request = 0; request < 20; request++) await fixture.request({ path: '/b/x' });
  const answer = await fixture.request();
  expect([answer.body, answer.whole]).toEqual([WHOLE, true]);
});

test('should go on with a begun stream at a server that is too late for the first answer of a new one', async () => {
  const first: ArrivedRequest[] = [];
  const holds: Script = () => undefined;
  const script = inTurn((request) => (first.push(request), begins(request)), holds, holds, goesOn);
  // any prompt that waits to be read makes the first answer of a new request too late
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
  expect([answer.body, answer.whole]).toEqual([WHOLE, true]);
});

/** Whether a line of the log holds all of these. */
function logged(...parts: string[]): boolean {
  return fixture.lines.some((line) => parts.every((part) => line.includes(part)));
}

/** How often the servers were sent a request. */
function arrivalsOf(id: string): number {
  const arrived = fixture.backends.flatMap((backend) => backend.arrived);
  return arrived.filter(({ headers }) => headers.get('larklatch-request-id') === id).length;
}

test('should go on with a begun stream at a server that had rejected it before it began', async () => {
  const script = inTurn(rejects, breaksOff, goesOn);
  await fixture.start([script, script], STREAM, PLENTY);
  const answer = await fixture.request();
  expect([answer.body, answer.whole, fixture.arrivals]).toEqual([WHOLE, true, 3]);
});

test('should cut a begun stream at once when as many servers have run it as its route allows', async () => {
  const script = inTurn(breaksOff, breaksOff, goesOn);
  await fixture.start([script, script, script], STREAM);
  const answer = await fixture.request();
  expect([answer.status, answer.whole, fixture.arrivals]).toEqual([200, false, 2]);
  expect([logged('request.cut', 'attempts used'), logged('request.waiting')]).toEqual([true, false]);
});

test('should refuse a stream that has not begun at once, as not run', async () => {
  await fixture.start([rejects, rejects, rejects], STREAM);
  const { status, headers } = await fixture.request();
  expect([status, headers['retry-after'] !== undefined, fixture.arrivals]).toEqual([503, true, 2]);
  expect(logged('request.waiting')).toEqual(false);
});

/** Breaks a first stream off, which is rejected from then on, and lets a second one go on after a wait as long. */
function onlySecondGoesOn(): Script {
  const first = inTurn(breaksOff, rejects);
  const second = inTurn(breaksOff, rejects, goesOn);
  return (request) => (request.headers.get('larklatch-request-id') === 'request-1' ? first : second)(request);
}

test('should send nothing more for a stream that waits once its caller has left', async () => {
  const script = onlySecondGoesOn();
  await fixture.start([script, script], STREAM, PLENTY);
  const caller = new AbortController();
  void fixture.request({ signal: caller.signal }).catch(() => undefined);
  await until(() => logged('request.waiting'));
  caller.abort();
  await until(() => logged('request.caller-gone'));
  const sent = arrivalsOf('request-1');
  const other = await fixture.request({ headers: { 'larklatch-request-id': 'request-2' } });
  expect([other.whole, arrivalsOf('request-1')]).toEqual([true, sent]);
});

test('should cut a stream that waits when its time is over, and send nothing more for it', async () => {
  const script = onlySecondGoesOn();
  const routes = [routeFixture({ kind: 'stream', resumable: true, timeoutMilliseconds: 600 })];
  await fixture.start([script, script], { routes }, PLENTY);
  const answer = await fixture.request();
  expect([answer.status, answer.whole, logged('request.waiting')]).toEqual([200, false, true]);
  expect(logged('request.cut', '"noAttempt"')).toEqual(true);
  const sent = arrivalsOf('request-1');
  const other = await fixture.request({ headers: { 'larklatch-request-id': 'request-2' } });
  expect([other.whole, arrivalsOf('request-1')]).toEqual([true, sent]);
});

test('should end a stream that waits when the entry has stopped', async () => {
  const script = inTurn(breaksOff, rejects);
  await fixture.start([script, script], STREAM, PLENTY);
  const asked = fixture.request();
  await until(() => logged('request.waiting'));
  await fixture.gateway.stop();
  const answer = await asked;
  expect([answer.status, answer.whole]).toEqual([200, false]);
  await until(() => logged('request.caller-gone'));
});

test('should let a begun stream wait for a server that cannot be reached', async () => {
  const breaksOffAlone: Script = (request) => {
    fixture.backends.find((backend) => backend.arrived.length === 0)!.close();
    breaksOff(request);
  };
  const script = inTurn(breaksOffAlone, goesOn);
  await fixture.start([script, script], STREAM, PLENTY);
  const asked = fixture.request();
  await until(() => logged('request.waiting', 'no server'));
  const closed = fixture.backends.findIndex((backend) => backend.arrived.length === 0);
  const found = fixture.lines.find(
    (line) => line.includes('server.found') && line.includes(`server-${closed}`),
  );
  const [, port] = /"address":"127\.0\.0\.1:(\d+)"/.exec(found ?? '') ?? [];
  await fixture.backends[closed].listen('127.0.0.1', Number(port));
  const answer = await asked;
  expect([answer.body, answer.whole]).toEqual([WHOLE, true]);
});

/** Lets the server switch that has the only request. */
function switchFirst(): void {
  const first = fixture.backends.findIndex((backend) => backend.arrived.length === 1);
  fixture.sendStatus(first, { state: 'switching' });
  fixture.sendStatus(1 - first, { state: 'serving' });
}

test('should go on with a stream that breaks off after the server it was to be handed over to rejected it', async () => {
  let first: ArrivedRequest | undefined;
  const script = inTurn((request) => begins((first = request)), rejects, goesOn);
  await fixture.startEngines([script, script], STREAM);
  const asked = fixture.request();
  await until(() => fixture.arrivals === 1);
  switchFirst();
  await until(() => logged('request.rejected'));
  first!.socket.end();
  const answer = await asked;
  expect([answer.body, answer.whole, fixture.arrivals]).toEqual([WHOLE, true, 3]);
});

test('should go on with a stream that breaks off before the server it is to be handed over to rejects it', async () => {
  let first: ArrivedRequest | undefined;
  const rejectsLater: Script = (request) => {
    first!.socket.end();
    void until(() => logged('request.attempt-failed')).then(() => rejects(request));
  };
  const script = inTurn((request) => begins((first = request)), rejectsLater, goesOn);
  await fixture.startEngines([script, script], STREAM);
  const asked = fixture.request();
  await until(() => fixture.arrivals === 1);
  switchFirst();
  const answer = await asked;
  expect([answer.body, answer.whole, fixture.arrivals]).toEqual([WHOLE, true, 3]);
});

test('should not say that a stream has not run when a handover that was silent may have run it', async () => {
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

test('should say that a stream has not run which both its server and the one of its handover rejected', async () => {
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

test('should not take a server for silent that has just answered a stream that waited for it', () => {
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
