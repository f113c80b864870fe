/** Where a request may be sent next. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { AdmittedRequest } from '../src/serving/admittedRequest.js';
import type { ForwardServices } from '../src/serving/forwardServices.js';
import { RequestAttempts } from '../src/serving/requestAttempts.js';
import type { ServerNeed } from '../src/serving/serverNeed.js';
import type { TrackedServer } from '../src/serving/trackedServer.js';
import { VersionGate } from '../src/serving/versionGate.js';
import { ManualClock } from '../src/utils/clock.js';
import { routeFixture } from './fixtures/servingFixture.js';

test('should hand a stream over to no server of an older version late before the bound', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.note('m', 2, 0);
  const needs: ServerNeed[] = [];
  const pool = {
    find: (need: ServerNeed) => {
      needs.push(need);
      return { kind: 'none', reason: 'no-server' } as const;
    },
  };
  const services = { clock, gate, pool } as unknown as ForwardServices;
  const request = { service: 's', model: 'm', route: routeFixture() } as AdmittedRequest;
  const attempts = new RequestAttempts(services, request);
  clock.advance(4_900);
  attempts.find(true);
  clock.advance(200);
  attempts.find(true);
  attempts.find();
  expect(needs.map(({ lowestVersion }) => lowestVersion)).toEqual([0, 2, 0]);
  expect(needs.map(({ lowestVersionSlow }) => lowestVersionSlow)).toEqual([0, 2, 0]);
});

test('should take a request back sooner from a server on whose link it may lie', () => {
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.note('m', 2, 0);
  const services = { clock, gate } as unknown as ForwardServices;
  const request = { service: 's', model: 'm', route: routeFixture() } as AdmittedRequest;
  const attempts = new RequestAttempts(services, request);
  const server = { version: () => 1, slowLink: false, agentSilent: false } as unknown as TrackedServer;
  const slow = { version: () => 1, slowLink: true, agentSilent: false } as unknown as TrackedServer;
  clock.advance(6_100);
  expect([attempts.mayBeginTooLate(server), attempts.mayBeginTooLate(slow)]).toEqual([false, true]);
  clock.advance(1_500);
  expect(attempts.mayBeginTooLate(server)).toEqual(true);
});
