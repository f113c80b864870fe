/** What becomes of a stream that has begun when its server breaks off and no other one takes it at once. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { answers, chunkOf, events, streamHead } from '../standins/scriptedBackend.js';
import type { ArrivedRequest, Script } from '../standins/scriptedBackend.js';
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
  await fixture.start([script, script], STREAM);
  const answer = await fixture.ask();
  expect([answer.body, answer.whole]).toEqual([WHOLE, true]);
  expect(fixture.arrivals).toEqual(4);
});

test('should go on with a begun stream when new requests have taken all the retries they may', async () => {
  const surge = routeFixture({ name: 'surge', pathPrefix: '/b/' });
  const begun = inTurn(breaksOff, goesOn);
  const script: Script = (request) => (request.path.startsWith('/b/') ? rejects : begun)(request);
  const settings = { retryPercent: 100, retrySlack: 0 };
  await fixture.start([script, script], { routes: [STREAM_ROUTE, surge] }, settings);
  for (let request = 0; request < 20; request++) await fixture.ask({ path: '/b/x' });
  const answer = await fixture.ask();
  expect([answer.body, answer.whole]).toEqual([WHOLE, true]);
});

test('should go on with a begun stream at a server that is too late for the first answer of a new one', async () => {
  const first: ArrivedRequest[] = [];
  const holds: Script = () => undefined;
  const script = inTurn((request) => (first.push(request), begins(request)), holds, holds, goesOn);
  // any prompt that waits to be read makes the first answer of a new request too late
  const routes = [routeFixture({ kind: 'stream', resumable: true, objectiveMilliseconds: 1 })];
  await fixture.startEngines([script, script], { routes });
  const asked = fixture.ask();
  await until(() => fixture.arrivals === 1);
  const others = new AbortController();
  for (let number = 2; fixture.arrivals < 3; number++) {
    const name = `request-${number}`;
    const headers = { 'larklatch-request-id': name };
    void fixture.ask({ headers, signal: others.signal }).catch(() => undefined);
    await until(() => fixture.lines.some((line) => line.includes(name)));
  }
  expect(fixture.backends.map(({ arrived }) => arrived.length).sort()).toEqual([1, 2]);
  first[0].socket.resetAndDestroy();
  const answer = await asked;
  others.abort();
  expect([answer.body, answer.whole]).toEqual([WHOLE, true]);
});
