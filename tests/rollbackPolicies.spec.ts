/** For how long an earlier word counts for more than what the store has since it was rolled back. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { StoredObject } from '../src/records/watchableStore.js';
import type { BackendServerRecord } from '../src/serving/backendServerRecord.js';
import { VersionRollbackPolicy } from '../src/serving/versionRollbackPolicy.js';
import { ServerRollbackPolicy } from '../src/serving/serverRollbackPolicy.js';

const HEARTBEAT = 1_000;
const RENEWED = 2 * HEARTBEAT;
const LAPSED = 10 * HEARTBEAT;
const ALWAYS = Number.POSITIVE_INFINITY;
const servers = new ServerRollbackPolicy(
  ({ value }) => (value === undefined ? undefined : ({ startedAt: 0, ...value } as BackendServerRecord)),
  HEARTBEAT,
);
const numbers = new VersionRollbackPolicy(({ value }) => value as number | undefined);

function object(value: unknown): StoredObject {
  return { name: 'x', revision: 1, value };
}

const READY = { draining: false };
const DRAINING = { draining: true };

for (const [what, held, stored, milliseconds] of [
  ['one that leaves over the same life that is ready', DRAINING, READY, ALWAYS],
  ['one that is ready over the same life that leaves', READY, DRAINING, 0],
  ['a later life over an earlier one', { ...READY, startedAt: 2 }, { ...READY, startedAt: 1 }, LAPSED],
  ['one that leaves over its next life', { ...DRAINING, startedAt: 1 }, { ...READY, startedAt: 2 }, 0],
  ['one that leaves over what nobody can read', DRAINING, undefined, 0],
  ['what nobody can read over one that is ready', undefined, READY, 0],
] as const) {
  test(`should hold ${what} for ${milliseconds} ms`, () => {
    expect(servers.replaced(object(held), object(stored))).toEqual(milliseconds);
  });
}

for (const [what, last, stored, milliseconds] of [
  ['that has gone against the same life', READY, READY, LAPSED],
  ['that has gone against an earlier life', { startedAt: 2 }, { startedAt: 1 }, LAPSED],
  ['that has gone against a later life', { startedAt: 1 }, { startedAt: 2 }, 0],
  ['that has gone against what nobody can read', READY, undefined, 0],
] as const) {
  test(`should hold a server ${what} for ${milliseconds} ms`, () => {
    expect(servers.deleted(object(last), object(stored))).toEqual(milliseconds);
  });
}

test('should hold a server whose entry is missing until it has had the time to renew it', () => {
  expect(servers.missing(object(READY))).toEqual(RENEWED);
  expect(servers.missing(object(undefined))).toEqual(0);
});

test('should hold the higher number of the operator until the store has it', () => {
  expect(numbers.replaced(object(3), object(2))).toEqual(ALWAYS);
  expect(numbers.replaced(object(2), object(3))).toEqual(0);
  expect(numbers.replaced(object(3), object(undefined))).toEqual(ALWAYS);
  expect(numbers.missing(object(3))).toEqual(ALWAYS);
  expect([numbers.replaced(object(undefined), object(1)), numbers.missing(object(undefined))]).toEqual([
    0, 0,
  ]);
});
