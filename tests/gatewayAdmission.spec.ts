/** Admission control in a running gateway, with model servers whose agents report their load. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { answers } from '../standins/scriptedBackend.js';
import type { CallerAnswer } from './fixtures/gatewayFixture.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { routeFixture } from './fixtures/servingFixture.js';

/** Bound for the number of requests that may precede the first statuses. */
const MAX_REQUESTS = 100;

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

async function requestWithDeadline(milliseconds: number): Promise<CallerAnswer> {
  const headers = { 'larklatch-deadline-milliseconds': String(milliseconds) };
  return await fixture.request({ headers });
}

/** Starts two servers, of whose 8 slots 7 are in use, after enough requests to know the usual deadline. */
async function startUnderShortage(admission: string): Promise<void> {
  await fixture.startEngines([answers(), answers()], {}, { admission });
  for (let request = 0; request < 6; request++) await requestWithDeadline(3_000);
  reportShortage();
}

function reportShortage(): void {
  for (const [index, running] of [3, 4].entries()) fixture.sendStatus(index, { running });
}

test('should reject a late request under shortage, and send one on time', async () => {
  await startUnderShortage('on-time-first');
  // The statuses arrive on other connections than the requests, so that the first requests may precede them.
  let answer = await requestWithDeadline(1_500);
  for (let request = 0; request < MAX_REQUESTS && answer.status === 200; request++) {
    reportShortage();
    answer = await requestWithDeadline(1_500);
  }
  expect(answer.status).toEqual(503);
  expect(Number(answer.headers['retry-after']) <= 0.48).toEqual(true);
  const line = fixture.lines.filter((text) => text.includes('"request.refused"')).at(-1)!;
  expect(line).toInclude('"noAttempt":"reserved"');
  expect(line).toInclude('"timeliness":"late","rank":0,"pressure":0.8');
  expect((await requestWithDeadline(3_000)).status).toEqual(200);
});

test('should send a late request under shortage in arrival order', async () => {
  await startUnderShortage('arrival-order');
  for (let request = 0; request < 5; request++) {
    reportShortage();
    expect((await requestWithDeadline(1_500)).status).toEqual(200);
  }
});

test('should tell servers the rank where customers have one priority and routes differ', async () => {
  const routes = [
    routeFixture({ name: 'urgent', pathPrefix: '/a/', priority: 0 }),
    routeFixture({ name: 'usual', pathPrefix: '/b/', priority: 2 }),
  ];
  await fixture.start([answers()], { routes }, { admission: 'on-time-first' });
  for (const path of ['/a/x', '/b/x']) await fixture.request({ path });
  expect(fixture.backends[0].arrived.map(({ headers }) => headers.get('larklatch-priority'))).toEqual([
    '0',
    '1',
  ]);
});
