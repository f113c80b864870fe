/**
 * Guards against ignoring the leaving header and Retry-After of servers:
 * - A server announced its shutdown in responses while the store was unreachable and its record still said ready.
 *   An entry that had received such a response kept sending to the server, still 2 s later.
 * - A server rejected requests with a Retry-After of 3 s. An entry avoided it for only 150 ms and sent it 5
 *   requests within these 3 s, while callers were refused because both of their attempts had gone to such servers.
 */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { pause } from '../src/utils/timers.js';
import type { Script } from '../standins/scriptedBackend.js';
import { answers } from '../standins/scriptedBackend.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { until } from './fixtures/until.js';

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

const leaves = answers({ headers: { 'larklatch-leaving': '1' } });

/** Rejects requests with this Retry-After. */
function rejects(seconds: string): Script {
  return answers({
    status: 503,
    headers: { 'larklatch-not-run': '1', 'retry-after': seconds },
    seal: null,
  });
}

const MANY_CONNECTIONS = {
  services: [{ name: 'plain', maximumConnections: 1_000, engine: undefined, origin: undefined }],
};
const GAP_MILLISECONDS = 15;
const REQUESTS = 60;

/** Sends requests one after the other; returns the statuses. */
async function requestOften(): Promise<number[]> {
  const statuses: number[] = [];
  for (let sent = 0; sent < REQUESTS; sent++) {
    statuses.push((await fixture.request()).status);
    await pause(GAP_MILLISECONDS);
  }
  return statuses;
}

test('should send nothing more to a server that has announced its shutdown', async () => {
  await fixture.start([leaves, answers()], MANY_CONNECTIONS);
  const statuses = await requestOften();
  expect(fixture.backends[0].arrived.length).toBeLessThanOrEqual(1);
  expect(statuses.every((status) => status === 200)).toEqual(true);
});

test('should send nothing more to a leaving server whose record disappears and returns', async () => {
  await fixture.start([leaves], MANY_CONNECTIONS);
  const record = fixture.record(0);
  await fixture.request();
  fixture.setServer(0, undefined);
  await until(() => fixture.lines.some((line) => line.includes('server.gone')));
  fixture.setServer(0, record);
  await until(() => fixture.lines.filter((line) => line.includes('server.found')).length === 2);
  const statuses = await requestOften();
  expect(fixture.arrivals).toEqual(1);
  expect(statuses.every((status) => status === 503)).toEqual(true);
});

test('should send nothing to a server until its Retry-After is over', async () => {
  await fixture.start([rejects('30'), answers()], MANY_CONNECTIONS);
  const statuses = await requestOften();
  expect(fixture.backends[0].arrived.length).toBeLessThanOrEqual(1);
  expect(statuses.every((status) => status === 200)).toEqual(true);
});

test('should use a server again after its Retry-After', async () => {
  await fixture.start([rejects('0.3')], MANY_CONNECTIONS);
  const answer = await fixture.request();
  expect(answer.status).toEqual(503);
  fixture.backends[0].answerWith(answers());
  const statuses = await requestOften();
  expect(statuses.filter((status) => status === 200).length).toBeGreaterThan(0);
});

test('should refuse at once while all servers ask for a pause, and advise when to retry', async () => {
  await fixture.start([rejects('30'), rejects('20')], MANY_CONNECTIONS);
  await requestOften();
  const answer = await fixture.request({ headers: { 'larklatch-deadline-milliseconds': '3000' } });
  expect(answer.status).toEqual(503);
  expect(fixture.arrivals).toEqual(2);
  // The advice is at most about a third of the caller's timeout, and no server accepts the request sooner.
  const seconds = Number(answer.headers['retry-after']);
  expect(seconds).toBeGreaterThan(0.75);
  expect(seconds).toBeLessThanOrEqual(0.96);
});

for (const text of ['', 'NaN', '-1', '1e309', 'soon']) {
  test(`should keep using a server whose Retry-After of "${text}" is invalid`, async () => {
    await fixture.start([rejects(text)], MANY_CONNECTIONS);
    await requestOften();
    expect(fixture.backends[0].arrived.length).toBeGreaterThan(10);
    const noted = fixture.lines.filter((line) => line.includes('server.signal-unreadable'));
    expect(noted.length).toEqual(1);
  });
}
