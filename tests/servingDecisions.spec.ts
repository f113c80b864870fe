/** Unit tests of the decisions of a gateway, with a manual clock and fixed random numbers. */
import { test } from 'node:test';
import { expect } from 'earl';
import { OWN_HEADER_NAMES } from '../src/serving/headerNames.js';
import type { EntryAddress } from '../src/protocol/boxMessages.js';
import type { AttemptProgress } from '../src/serving/answerClassification.js';
import { isStalled, classifyAnswer } from '../src/serving/answerClassification.js';
import { EventSplitter } from '../src/serving/eventSplitter.js';
import { RetryAllowance } from '../src/serving/retryAllowance.js';
import { RouteIndex, chooseTarget } from '../src/serving/routeIndex.js';
import { ServerHealth } from '../src/serving/serverHealth.js';
import { ManualClock } from '../src/utils/clock.js';
import { subscribedDirectory } from './fixtures/subscribedDirectory.js';
import { routeFixture, servingConfiguration } from './fixtures/servingFixture.js';

test('should find the route with the longest prefix of the path', () => {
  const routes = [
    routeFixture({ name: 'short', pathPrefix: '/a/' }),
    routeFixture({ name: 'long', pathPrefix: '/a/b/' }),
  ];
  const index = new RouteIndex(servingConfiguration({ routes }));
  expect(index.route('host.example:80', '/a/b/c?d=/a/')?.name).toEqual('long');
  expect(index.route('HOST.example', '/a/x')?.name).toEqual('short');
  expect(index.route('host.example', '/b/')).toEqual(undefined);
  expect(index.route('other.example', '/a/')).toEqual(undefined);
});

test('should split requests by weight', () => {
  const targets = [
    { service: 'most', weight: 90 },
    { service: 'few', weight: 10 },
  ];
  const route = routeFixture({ targets });
  expect(chooseTarget(route, 0.89)).toEqual('most');
  expect(chooseTarget(route, 0.91)).toEqual('few');
});

test('should find the customer of a known API key only', () => {
  const index = new RouteIndex(servingConfiguration());
  expect(index.customer('key-one')?.name).toEqual('one');
  expect(index.customer('key-two')).toEqual(undefined);
});

test('should forget that a server was slow, so that it is used again', () => {
  const clock = new ManualClock();
  const health = new ServerHealth(clock);
  for (let attempt = 0; attempt < 10; attempt++) health.noteFirstByte(1_000);
  expect(health.firstByteMilliseconds).toBeGreaterThan(900);
  clock.advance(10_000);
  expect(health.firstByteMilliseconds).toBeLessThan(100);
});

test('should rate a server by its failures until they are old', () => {
  const clock = new ManualClock();
  const health = new ServerHealth(clock);
  for (let attempt = 0; attempt < 6; attempt++) health.noteOutcome('failed');
  expect(health.failureRate).toBeGreaterThan(0.5);
  clock.advance(15_000);
  expect(health.failureRate).toBeLessThan(0.05);
});

test('should avoid a server for a while when another one has its address', () => {
  const clock = new ManualClock();
  const health = new ServerHealth(clock);
  health.noteOutcome('displaced');
  expect([health.avoided, health.failureRate]).toEqual([true, 0]);
});

test('should avoid a silent server for a while', () => {
  const clock = new ManualClock();
  const health = new ServerHealth(clock);
  health.noteOutcome('silent');
  expect(health.avoided).toEqual(true);
  clock.advance(1_001);
  expect(health.avoided).toEqual(false);
});

test('should back off from a repeatedly failing server and retry it with one request', () => {
  const clock = new ManualClock();
  const health = new ServerHealth(clock);
  health.noteOutcome('failed');
  expect(health.failing(3)).toEqual(false);
  health.noteOutcome('failed');
  expect(health.failing(0)).toEqual(true);
  clock.advance(501);
  expect([health.failing(0), health.failing(1)]).toEqual([false, true]);
  health.noteOutcome('failed');
  clock.advance(900);
  expect(health.failing(0)).toEqual(true);
  clock.advance(101);
  health.noteOutcome('succeeded');
  expect(health.failing(5)).toEqual(false);
});

test('should not back off from a server that fails now and then', () => {
  const health = new ServerHealth(new ManualClock());
  for (const end of ['failed', 'succeeded', 'failed', 'succeeded'] as const) health.noteOutcome(end);
  expect(health.failing(5)).toEqual(false);
});

test('should keep the retries of this entry within its share of the retry limit', () => {
  const clock = new ManualClock();
  const bound = { ratio: 0.2, windowMilliseconds: 10_000, slack: 100 };
  const allowance = new RetryAllowance(bound, clock, () => 5);
  let taken = 0;
  while (allowance.takeRetry(false)) taken++;
  while (allowance.takeRetry(true)) taken++;
  expect(taken).toEqual(17);
  for (let request = 0; request < 100; request++) allowance.onRequest();
  while (allowance.takeRetry(false)) taken++;
  while (allowance.takeRetry(true)) taken++;
  expect(taken).toEqual(34);
  clock.advance(10_500);
  expect(allowance.takeRetry(false)).toEqual(true);
});

test('should reserve a part of the retries for responses that have begun', () => {
  const clock = new ManualClock();
  const bound = { ratio: 0.2, windowMilliseconds: 10_000, slack: 100 };
  const allowance = new RetryAllowance(bound, clock, () => 5);
  let taken = 0;
  while (allowance.takeRetry(false)) taken++;
  expect(taken).toEqual(13);
  while (allowance.takeRetry(true)) taken++;
  expect(taken).toEqual(17);
  expect(allowance.takeRetry(false)).toEqual(false);
});

test('should split a stream into complete events, wherever its bytes are split', () => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata';
  for (let cut = 1; cut < text.length; cut++) {
    const splitter = new EventSplitter();
    const events = [
      ...splitter.push(Buffer.from(text.slice(0, cut))),
      ...splitter.push(Buffer.from(text.slice(cut))),
    ];
    expect(events.map((event) => event.id)).toEqual(['1', '2']);
    expect(splitter.rest.toString()).toEqual('id: 3\ndata');
  }
});

for (const [what, status, headers, verdict] of [
  ['a success with a seal', 200, { 'larklatch-seal': 's' }, 'answered'],
  ['a success without a seal', 200, {}, 'unclear'],
  ['a caller error', 404, { 'larklatch-seal': 's' }, 'answered'],
  ['a failure', 500, { 'larklatch-seal': 's' }, 'failed'],
  ['a full server', 503, { 'larklatch-not-run': '1' }, 'not-run'],
  ['a full server that may have run', 503, { 'larklatch-seal': 's' }, 'unclear'],
  ['another server at the address', 421, {}, 'not-run'],
  ['a rejection for a limit after which the request may have run', 429, {}, 'unclear'],
] as const) {
  test(`should classify ${what}`, () => {
    expect(classifyAnswer(status, { ...headers }, OWN_HEADER_NAMES)).toEqual(verdict);
  });
}

const HEALTHY: AttemptProgress = {
  waited: 100,
  objective: 400,
  serverSilentFor: 0,
  stream: true,
  streamSilentFor: 10,
};
for (const [what, changes, silent] of [
  ['a stream that delivers events', {}, false],
  ['a stream that has stalled', { streamSilentFor: 1_000 }, true],
  ['a stream that never begins', { streamSilentFor: undefined, waited: 1_900 }, true],
  ['a stream that waits at a busy server', { streamSilentFor: undefined, waited: 1_100 }, false],
  [
    'a stream that waits at a silent server',
    { streamSilentFor: undefined, waited: 1_100, serverSilentFor: 400 },
    true,
  ],
  [
    'a stream at a server that is silent on all streams',
    { streamSilentFor: undefined, serverSilentFor: 950 },
    true,
  ],
  ['a plain request that takes too long', { stream: false, streamSilentFor: undefined, waited: 1_100 }, true],
  ['a plain request in time', { stream: false, streamSilentFor: undefined, waited: 300 }, false],
] as const) {
  test(`should ${silent ? 'move' : 'keep'} ${what}`, () => {
    expect(isStalled({ ...HEALTHY, ...changes })).toEqual(silent);
  });
}

function entry(box: string, dataCentre: string, leaving = false): EntryAddress {
  return { box, dataCentre, address: `${box}:80`, control: `${box}:81`, leaving };
}

function all(entries: EntryAddress[]): { whole: boolean; entries: EntryAddress[]; gone: string[] } {
  return { whole: true, entries, gone: [] };
}

test('should apply changes since the last list', () => {
  const { directory } = subscribedDirectory('agent');
  directory.applyList('agent', all([entry('b', 'north'), entry('c', 'north')]));
  directory.applyList('agent', { whole: false, entries: [entry('d', 'north')], gone: ['b'] });
  expect(directory.addressesFor('north')).toEqual(['a:80', 'c:80', 'd:80']);
  directory.applyList('agent', all([entry('b', 'north')]));
  expect(directory.addressesFor('north')).toEqual(['a:80', 'b:80']);
});

test('should assume many sharing entries until the entries are known', () => {
  const { directory } = subscribedDirectory('agent');
  expect(directory.count()).toEqual(16);
  directory.applyList('agent', all([entry('a', 'north')]));
  expect(directory.count()).toEqual(1);
});

test("should list the live entries in the caller's data centre", () => {
  const { directory } = subscribedDirectory('agent');
  directory.applyList('agent', all([entry('a', 'north'), entry('b', 'north'), entry('c', 'south')]));
  expect(directory.addressesFor('north')).toEqual(['a:80', 'b:80']);
});

test('should list an entry in another data centre rather than only one entry', () => {
  const { directory } = subscribedDirectory('agent');
  directory.applyList('agent', all([entry('b', 'south'), entry('c', 'south')]));
  expect(directory.addressesFor('north')).toEqual(['a:80', 'b:80']);
});

test('should not list an entry that any agent reports as leaving', () => {
  const { directory } = subscribedDirectory('one', 'two');
  directory.applyList('one', all([entry('b', 'north')]));
  directory.applyList('two', all([entry('b', 'north', true)]));
  expect(directory.addressesFor('north')).toEqual(['a:80']);
});
