/**
 * Guards against a request that crashes every server that runs it. Its caller sent it again and again, each time
 * under a new id. Since entries recognised requests by id alone, any entry sent each of these to two more servers. 119
 * servers crashed within 92 seconds. One of these requests revealed the cause: the servers that it was sent to crashed
 * within 0.11 s after they had begun to run it. In the ten seconds that were recorded, 391 of the 937 requests of all
 * callers were refused, cut or failed.
 */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { answers } from '../standins/scriptedBackend.js';
import type { Script } from '../standins/scriptedBackend.js';
import { CrashingFleet } from './fixtures/crashingFleet.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';

const SERVERS = 12;
const ATTEMPTS = 6;
/** Number of crashes after which a request is rejected; fewer may be a coincidence. */
const CRASHES_TO_REJECT = 3;

let fleet: CrashingFleet;

beforeEach(() => {
  fleet = new CrashingFleet();
});

afterEach(() => fleet.stop());

/** Answers every request, except that the body `crash` crashes the server. */
function crashesOnRequest(index: number): Script {
  return (request) => (request.body === 'crash' ? fleet.crash(index) : answers()(request));
}

test('should limit a request that crashes every server to three servers', async () => {
  await fleet.start(SERVERS, crashesOnRequest);
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) await fleet.send('crash');
  expect(fleet.crashed.size).toEqual(CRASHES_TO_REJECT);
  const rejected = await fleet.send('crash');
  expect([rejected.status, fleet.crashed.size]).toEqual([503, CRASHES_TO_REJECT]);
});

test('should still reject such a request after a restart of all entries', async () => {
  await fleet.start(SERVERS, crashesOnRequest);
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) await fleet.send('crash');
  fleet.first.gateway.close();
  fleet.second.gateway.close();
  const later = new GatewayFixture();
  try {
    await later.startBeside(fleet.first);
    expect((await later.request({ method: 'POST', body: 'crash' })).status).toEqual(503);
  } finally {
    later.stop();
  }
  expect(fleet.crashed.size).toEqual(CRASHES_TO_REJECT);
});

test('should keep serving the same path and caller with another body', async () => {
  await fleet.start(SERVERS, crashesOnRequest);
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    await fleet.send('crash');
    expect((await fleet.send('calm')).status).toEqual(200);
  }
  expect(fleet.crashed.size).toEqual(CRASHES_TO_REJECT);
});

test('should not reject a common request whose servers crash for other reasons', async () => {
  let crashesNext = false;
  await fleet.start(SERVERS, (index) => (request) => {
    if (!crashesNext) return answers()(request);
    crashesNext = false;
    fleet.crash(index);
  });
  const statuses: number[] = [];
  for (let round = 0; round < SERVERS / 2; round++) {
    crashesNext = true;
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) statuses.push((await fleet.send('common')).status);
    await fleet.dropCrashed();
  }
  expect(fleet.crashed.size).toEqual(SERVERS / 2);
  expect(statuses.filter((status) => status !== 200)).toEqual([]);
});
