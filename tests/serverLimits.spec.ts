/**
 * Guards against ignoring the request limits that overloaded servers advertise. Entries chose servers only by load,
 * pending prompts and distance, so an overloaded server with few running requests looked best and got up to six
 * times its limit: a server with a limit of 1 request per second received 24 requests in 4 s (at most 11 are
 * allowed), all of them first attempts from the two entries of its data centre.
 */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { pause } from '../src/utils/timers.js';
import type { Script } from '../standins/scriptedBackend.js';
import { answers } from '../standins/scriptedBackend.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

/** Responds with a limit header. */
function limited(perSecond: string): Script {
  return answers({ headers: { 'larklatch-requests-per-second': perSecond } });
}

const GAP_MILLISECONDS = 15;
/** An entry that knows no others uses a small share of the connections, which must be enough here. */
const MANY_CONNECTIONS = {
  services: [{ name: 'plain', maximumConnections: 1_000, engine: undefined, origin: undefined }],
};

/** Sends requests every few milliseconds for the given time; returns the statuses. */
async function requestFor(milliseconds: number): Promise<number[]> {
  const statuses: Promise<number>[] = [];
  const until = Date.now() + milliseconds;
  while (Date.now() < until) {
    statuses.push(fixture.request().then(({ status }) => status));
    await pause(GAP_MILLISECONDS);
  }
  return await Promise.all(statuses);
}

test('should stay within the limit of a server and send all other requests to another one', async () => {
  await fixture.start([limited('1'), answers()], MANY_CONNECTIONS);
  await requestFor(500);
  const before = fixture.backends[0].arrived.length;
  const statuses = await requestFor(4_000);
  const arrived = fixture.backends[0].arrived.length - before;
  expect(arrived).toBeLessThanOrEqual(1.5 * 1 * 4 + 5);
  expect(statuses.filter((status) => status !== 200)).toEqual([]);
});

test('should reject requests at once when all servers are at their limit', async () => {
  await fixture.start([limited('1'), limited('1')], MANY_CONNECTIONS);
  await requestFor(500);
  const before = fixture.arrivals;
  const statuses = await requestFor(2_000);
  expect(fixture.arrivals - before).toBeLessThanOrEqual(2 * (1.5 * 1 * 2 + 5));
  expect(statuses.filter((status) => status === 200).length).toEqual(fixture.arrivals - before);
  expect(statuses.filter((status) => status === 503).length).toBeGreaterThan(50);
  const refused = fixture.lines.filter((line) => line.includes('"request.refused"'));
  expect(refused.every((line) => line.includes('"noAttempt":"servers at limit"'))).toEqual(true);
  expect(refused.every((line) => line.includes('"attempts":0'))).toEqual(true);
});
