/** Whether and where a request may be sent next. */
import { test } from 'node:test';
import { expect } from 'earl';
import { ArrivalOrderPolicy } from '../src/admission/arrivalOrderPolicy.js';
import { WaitingRequests } from '../src/admission/waitingRequests.js';
import type { AdmittedRequest } from '../src/serving/admittedRequest.js';
import type { ForwardingContext } from '../src/serving/forwardingContext.js';
import type { NoAttemptReason } from '../src/serving/noAttemptReason.js';
import { RequestAttempts } from '../src/serving/requestAttempts.js';
import { RetryAllowance } from '../src/serving/retryAllowance.js';
import type { ServerRequirements } from '../src/serving/serverRequirements.js';
import type { ServerSelection } from '../src/serving/serverPool.js';
import type { TrackedServer } from '../src/serving/trackedServer.js';
import { VersionGate } from '../src/serving/versionGate.js';
import { ManualClock } from '../src/utils/clock.js';
import { SeededRandom } from '../src/utils/random.js';
import { routeFixture } from './fixtures/servingFixture.js';

/** The dependencies of attempts that these tests need, with admission in order of arrival. */
function contextOf(clock: ManualClock, gate: VersionGate, pool: unknown): ForwardingContext {
  const admission = new ArrivalOrderPolicy(new SeededRandom(1));
  return { clock, gate, pool, admission } as unknown as ForwardingContext;
}

test('should not hand a stream over to a server of an older version close to the version deadline', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 2, 0);
  const needs: ServerRequirements[] = [];
  const pool = {
    find: (need: ServerRequirements) => {
      needs.push(need);
      return { kind: 'none', reason: 'no-server' } as const;
    },
  };
  const services = contextOf(clock, gate, pool);
  const request = { service: 's', model: 'm', route: routeFixture() } as AdmittedRequest;
  const attempts = new RequestAttempts(services, request);
  clock.advance(4_900);
  attempts.find(true);
  clock.advance(200);
  attempts.find(true);
  attempts.find();
  expect(needs.map(({ minVersion }) => minVersion)).toEqual([0, 2, 0]);
  expect(needs.map(({ minVersionIfSlow }) => minVersionIfSlow)).toEqual([0, 2, 0]);
});

test('should cancel a request earlier at a server with a slow link', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 2, 0);
  const services = contextOf(clock, gate, {});
  const request = { service: 's', model: 'm', route: routeFixture() } as AdmittedRequest;
  const attempts = new RequestAttempts(services, request);
  const server = { version: () => 1, slowLink: false, agentSilent: false } as unknown as TrackedServer;
  const slow = { version: () => 1, slowLink: true, agentSilent: false } as unknown as TrackedServer;
  clock.advance(6_100);
  expect([attempts.mayBeginTooLate(server), attempts.mayBeginTooLate(slow)]).toEqual([false, true]);
  clock.advance(1_500);
  expect(attempts.mayBeginTooLate(server)).toEqual(true);
});

const SERVER = { record: { id: 'server-1' } } as TrackedServer;
const FOUND: ServerSelection = { kind: 'found', server: SERVER };

interface Situation {
  found?: ServerSelection;
  slack?: number;
  sent?: number;
  left?: number;
  begun?: boolean;
}

/** Creates the attempts of a request whose route allows two, in the given situation. */
function attemptsIn(situation: Situation): RequestAttempts {
  const { found = FOUND, slack = 100, sent = 1, left = 1_000, begun = false } = situation;
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  const pool = { find: () => found, waiting: new WaitingRequests() };
  const services = contextOf(clock, gate, pool);
  const retries = new RetryAllowance({ ratio: 0, windowMilliseconds: 10_000, slack }, clock, () => 1);
  const endsAt = clock.now() + left;
  const request = { service: 's', model: 'm', route: routeFixture({ attempts: 2 }), retries, endsAt };
  const attempts = new RequestAttempts(services, request as unknown as AdmittedRequest, () => begun);
  for (let attempt = 0; attempt < sent; attempt++) attempts.noteSent(SERVER);
  return attempts;
}

for (const [reason, situation] of [
  [undefined, {}],
  ['attempts used', { sent: 2 }],
  ['retry budget', { slack: 0 }],
  ['no server', { found: { kind: 'none', reason: 'no-server' } }],
  ['all busy', { found: { kind: 'none', reason: 'all-busy' } }],
  ['old version', { found: { kind: 'none', reason: 'old-version' } }],
  ['time', { left: 30 }],
] as const satisfies readonly (readonly [NoAttemptReason | undefined, Situation])[]) {
  test(`should say why there is no next attempt: ${reason ?? 'there is one'}`, () => {
    expect(attemptsIn(situation).takeRetry()).toEqual(reason);
  });
}

/** Creates the attempts of a stream that has begun, with their clock and the needs that they passed to the pool. */
function begunStream(found: ServerSelection): {
  attempts: RequestAttempts;
  needs: ServerRequirements[];
  clock: ManualClock;
} {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 2, 0);
  const needs: ServerRequirements[] = [];
  const pool = { find: (need: ServerRequirements) => (needs.push(need), found) };
  const services = contextOf(clock, gate, pool);
  const retries = new RetryAllowance({ ratio: 0, windowMilliseconds: 10_000, slack: 100 }, clock, () => 1);
  const route = routeFixture({ attempts: 2, objectiveMilliseconds: 200 });
  const request = { service: 's', model: 'm', route, retries, endsAt: 60_000 };
  const attempts = new RequestAttempts(services, request as unknown as AdmittedRequest, () => true);
  return { attempts, needs, clock };
}

test('should not require a timely first answer for a stream that has begun, but keep to the deadline of its version', () => {
  const { attempts, needs, clock } = begunStream(FOUND);
  attempts.find();
  attempts.find(true);
  clock.advance(8_000);
  attempts.find();
  expect(needs.map((need) => need.objectiveMilliseconds)).toEqual([Infinity, 600, Infinity]);
  expect(needs.map((need) => need.isContinuation)).toEqual([true, true, true]);
  expect(needs.map((need) => need.minVersion)).toEqual([0, 0, 2]);
});

test('should try a server that has not run a begun stream again after a while', () => {
  const { attempts, needs, clock } = begunStream(FOUND);
  const ran = { record: { id: 'server-2' } } as TrackedServer;
  attempts.noteSent(ran);
  attempts.noteSent(SERVER);
  attempts.noteNotRun(SERVER);
  expect(attempts.takeRetry()).toEqual('asked just now');
  clock.advance(100);
  expect(attempts.takeRetry()).toEqual(undefined);
  clock.advance(50);
  expect(attempts.takeRetry()).toEqual(undefined);
  expect(needs.map(({ tried }) => [...tried])).toEqual([['server-2', 'server-1'], ['server-2']]);
  attempts.noteSent(SERVER);
  expect(attempts.takeRetry()).toEqual('attempts used');
});

test('should allow a stream that has begun the retries that are reserved from new requests', () => {
  // one retry is within the entry's share, but beyond the part that new requests may use
  const slack = 1.3;
  const [fresh, begun] = [false, true].map((hasBegun) => attemptsIn({ slack, begun: hasBegun }));
  expect([fresh.takeRetry(), begun.takeRetry()]).toEqual(['retry budget', undefined]);
});

test('should advise callers to retry within their timeout, and not for a long time when the request ends servers', () => {
  for (let request = 0; request < 20; request++) {
    const delay = attemptsIn({ left: 6_000 }).retryAfter('no server');
    expect(delay >= 960 && delay <= 1_920).toEqual(true);
  }
  expect(attemptsIn({ left: -5 }).retryAfter('time')).toEqual(0);
  expect(attemptsIn({ left: 6_000 }).retryAfter('ends servers', 30_000)).toEqual(30_000);
});

test('should limit the slots only of requests that have not run, as the others cannot be rejected', () => {
  const clock = new ManualClock();
  const limited: boolean[] = [];
  const find = (need: ServerRequirements): ServerSelection => {
    limited.push(need.slotLimits !== undefined);
    return FOUND;
  };
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  const admission = new ArrivalOrderPolicy(new SeededRandom(1));
  const services = { clock, gate, pool: { find }, admission } as unknown as ForwardingContext;
  const attempts = new RequestAttempts(services, { route: routeFixture() } as AdmittedRequest);
  attempts.find();
  attempts.noteSent(SERVER);
  attempts.find();
  attempts.noteNotRun(SERVER);
  attempts.find();
  attempts.find(true);
  expect(limited).toEqual([true, false, true, false]);
});
