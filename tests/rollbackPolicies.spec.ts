/** Tests how long earlier records are retained after a rollback of the store. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { StoredObject } from '../src/records/watchableStore.js';
import type { BackendServerRecord } from '../src/serving/backendServerRecord.js';
import { VersionRollbackPolicy } from '../src/serving/versionRollbackPolicy.js';
import { ServerRollbackPolicy } from '../src/serving/serverRollbackPolicy.js';

const HEARTBEAT = 1_000;
const RENEWED = 2 * HEARTBEAT;
const EXPIRED = 10 * HEARTBEAT;
const ALWAYS = Number.POSITIVE_INFINITY;
const servers = new ServerRollbackPolicy(
  ({ value }) => (value === undefined ? undefined : ({ startedAt: 0, ...value } as BackendServerRecord)),
  HEARTBEAT,
);
const versions = new VersionRollbackPolicy(({ value }) => value as number | undefined);

function object(value: unknown): StoredObject {
  return { name: 'x', revision: 1, value };
}

const READY = { draining: false };
const DRAINING = { draining: true };

for (const [what, held, stored, milliseconds] of [
  ['a draining server over the same incarnation that is ready', DRAINING, READY, ALWAYS],
  ['a ready server over the same incarnation that is draining', READY, DRAINING, 0],
  [
    'a later incarnation over an earlier one',
    { ...READY, startedAt: 2 },
    { ...READY, startedAt: 1 },
    EXPIRED,
  ],
  [
    'a draining server over its next incarnation',
    { ...DRAINING, startedAt: 1 },
    { ...READY, startedAt: 2 },
    0,
  ],
  ['a draining server over an invalid record', DRAINING, undefined, 0],
  ['an invalid record over a ready server', undefined, READY, 0],
] as const) {
  test(`should retain ${what} for ${milliseconds} ms`, () => {
    expect(servers.replaced(object(held), object(stored))).toEqual(milliseconds);
  });
}

for (const [what, last, stored, milliseconds] of [
  ['that was deleted over the same incarnation', READY, READY, EXPIRED],
  ['that was deleted over an earlier incarnation', { startedAt: 2 }, { startedAt: 1 }, EXPIRED],
  ['that was deleted over a later incarnation', { startedAt: 1 }, { startedAt: 2 }, 0],
  ['that was deleted over an invalid record', READY, undefined, 0],
] as const) {
  test(`should retain a server ${what} for ${milliseconds} ms`, () => {
    expect(servers.deleted(object(last), object(stored))).toEqual(milliseconds);
  });
}

test('should retain a missing server until it has had time to renew its record', () => {
  expect(servers.missing(object(READY))).toEqual(RENEWED);
  expect(servers.missing(object(undefined))).toEqual(0);
});

test('should retain the higher version of the operator until the store has it', () => {
  expect(versions.replaced(object(3), object(2))).toEqual(ALWAYS);
  expect(versions.replaced(object(2), object(3))).toEqual(0);
  expect(versions.replaced(object(3), object(undefined))).toEqual(ALWAYS);
  expect(versions.missing(object(3))).toEqual(ALWAYS);
  expect([versions.replaced(object(undefined), object(1)), versions.missing(object(undefined))]).toEqual([
    0, 0,
  ]);
});
