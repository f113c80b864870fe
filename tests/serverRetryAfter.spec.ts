/**
 * A server said in its answers that it leaves, while the store could not take its word: its record stood ready, and the entry that had
 * passed such an answer on went on sending there, up to the server's end. Another one turned requests away and asked for three seconds of
 * rest; an entry avoided it for 150 ms only and came again, five times within that rest, while callers were refused whose two attempts
 * had gone to servers that rested. Entries read neither header.
 *
 *     7.551 s  the entry has passed on an answer that says so; 9.578 s  request sent to the entry; 9.584 s  reaches the server
 *     a server had asked a machine for 3 s of rest, and got 5 requests from it in that time
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

/** Rejects requests with Retry-After. */
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
const ASKS = 60;

/** Asks one after the other; returns the statuses. */
async function askOften(): Promise<number[]> {
  const statuses: number[] = [];
  for (let asked = 0; asked < ASKS; asked++) {
    statuses.push((await fixture.ask()).status);
    await pause(GAP_MILLISECONDS);
  }
  return statuses;
}

test('should send nothing more to a server that has said it leaves', async () => {
  await fixture.start([leaves, answers()], MANY_CONNECTIONS);
  const statuses = await askOften();
  expect(fixture.backends[0].arrived.length).toBeLessThanOrEqual(1);
  expect(statuses.every((status) => status === 200)).toEqual(true);
});

test('should send nothing more to a leaving server whose record is lost and comes back', async () => {
  await fixture.start([leaves], MANY_CONNECTIONS);
  const record = fixture.record(0);
  await fixture.ask();
  fixture.setServer(0, undefined);
  await until(() => fixture.lines.some((line) => line.includes('server.gone')));
  fixture.setServer(0, record);
  await until(() => fixture.lines.filter((line) => line.includes('server.found')).length === 2);
  const statuses = await askOften();
  expect(fixture.arrivals).toEqual(1);
  expect(statuses.every((status) => status === 503)).toEqual(true);
});

test('should send nothing to a server until its Retry-After is over', async () => {
  await fixture.start([rejects('30'), answers()], MANY_CONNECTIONS);
  const statuses = await askOften();
  expect(fixture.backends[0].arrived.length).toBeLessThanOrEqual(1);
  expect(statuses.every((status) => status === 200)).toEqual(true);
});

test('should come back to a server after its Retry-After', async () => {
  await fixture.start([rejects('0.3')], MANY_CONNECTIONS);
  const answer = await fixture.ask();
  expect(answer.status).toEqual(503);
  fixture.backends[0].answerWith(answers());
  const statuses = await askOften();
  expect(statuses.filter((status) => status === 200).length).toBeGreaterThan(0);
});

test('should refuse at once while all servers have asked for a pause, and say when the first of them takes requests', async () => {
  await fixture.start([rejects('30'), rejects('20')], MANY_CONNECTIONS);
  await askOften();
  const answer = await fixture.ask({ headers: { 'larklatch-deadline-milliseconds': '3000' } });
  expect(answer.status).toEqual(503);
  expect(fixture.arrivals).toEqual(2);
  // a caller waits for a third of its time at the most, and nearer to now no server takes it
  const seconds = Number(answer.headers['retry-after']);
  expect(seconds).toBeGreaterThan(0.75);
  expect(seconds).toBeLessThanOrEqual(0.96);
});

for (const text of ['', 'NaN', '-1', '1e309', 'soon']) {
  test(`should go on asking a server whose Retry-After of "${text}" means nothing`, async () => {
    await fixture.start([rejects(text)], MANY_CONNECTIONS);
    await askOften();
    expect(fixture.backends[0].arrived.length).toBeGreaterThan(10);
    const noted = fixture.lines.filter((line) => line.includes('server.signal-unreadable'));
    expect(noted.length).toEqual(1);
  });
}
