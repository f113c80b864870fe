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
import type { CallerAnswer, CallerRequest } from './fixtures/gatewayFixture.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { until } from './fixtures/until.js';

const SERVERS = 12;
const ATTEMPTS = 6;
/** Number of crashes after which a request is rejected; fewer may be a coincidence. */
const CRASHES_TO_REJECT = 3;

let first: GatewayFixture;
let second: GatewayFixture;
/** Indices of the servers that have crashed. */
let crashed: Set<number>;

beforeEach(() => {
  first = new GatewayFixture();
  second = new GatewayFixture();
  crashed = new Set();
});

afterEach(() => {
  second.stop();
  first.stop();
});

/** Answers every request, except that the body `crash` crashes the server. */
function crashesOnRequest(index: number): Script {
  return (request) => (request.body === 'crash' ? crash(index) : answers()(request));
}

function crash(index: number): void {
  crashed.add(index);
  first.backends[index].close();
}

/** Removes crashed servers from service discovery and waits until both entries have noticed. */
async function dropCrashed(): Promise<void> {
  for (const index of crashed) first.setServer(index, undefined);
  for (const { lines } of [first, second])
    await until(() => lines.filter((line) => line.includes('"server.gone"')).length === crashed.size);
}

async function startBoth(script: (index: number) => Script = crashesOnRequest): Promise<void> {
  await first.start(Array.from({ length: SERVERS }, (_unused, index) => script(index)));
  await second.startBeside(first);
}

/** Sends a request under a new id, to the two entries in turn. */
async function send(body: string, attempt: number, more: CallerRequest = {}): Promise<CallerAnswer> {
  const entry = attempt % 2 === 0 ? first : second;
  const headers = { 'larklatch-request-id': `${body}-${attempt}` };
  return await entry.request({ method: 'POST', body, headers, ...more });
}

test('should limit a request that crashes every server to three servers', async () => {
  await startBoth();
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) await send('crash', attempt);
  expect(crashed.size).toEqual(CRASHES_TO_REJECT);
  const rejected = await send('crash', ATTEMPTS);
  expect([rejected.status, crashed.size]).toEqual([503, CRASHES_TO_REJECT]);
});

test('should still reject such a request after a restart of all entries', async () => {
  await startBoth();
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) await send('crash', attempt);
  first.gateway.close();
  second.gateway.close();
  const later = new GatewayFixture();
  try {
    await later.startBeside(first);
    expect((await later.request({ method: 'POST', body: 'crash' })).status).toEqual(503);
  } finally {
    later.stop();
  }
  expect(crashed.size).toEqual(CRASHES_TO_REJECT);
});

test('should keep serving the same path and caller with another body', async () => {
  await startBoth();
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    await send('crash', attempt);
    expect((await send('calm', attempt)).status).toEqual(200);
  }
  expect(crashed.size).toEqual(CRASHES_TO_REJECT);
});

test('should not reject a common request whose servers crash for other reasons', async () => {
  let crashesNext = false;
  await startBoth((index) => (request) => {
    if (!crashesNext) return answers()(request);
    crashesNext = false;
    crash(index);
  });
  const statuses: number[] = [];
  for (let round = 0; round < SERVERS / 2; round++) {
    crashesNext = true;
    for (let attempt = 0; attempt < ATTEMPTS; attempt++)
      statuses.push((await send('common', attempt)).status);
    await dropCrashed();
  }
  expect(crashed.size).toEqual(SERVERS / 2);
  expect(statuses.filter((status) => status !== 200)).toEqual([]);
});
