/** Tests which servers the pool finds for a request. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { ServerRequirements } from '../src/serving/serverRequirements.js';
import { ServerPool } from '../src/serving/serverPool.js';
import type { ServiceDescription } from '../src/serving/servingConfiguration.js';
import { SLOW_LINK_MILLISECONDS } from '../src/serving/trackedServer.js';
import { EventLog } from '../src/telemetry/eventLog.js';
import { ManualClock } from '../src/utils/clock.js';
import { SeededRandom } from '../src/utils/random.js';
import { EVERYWHERE } from './fixtures/everywhere.js';
import { servingSignals } from './fixtures/servingSignals.js';

const SLOTS = 8;
const CHAT: ServiceDescription = {
  name: 'chat',
  maximumConnections: 100,
  engine: {
    slots: SLOTS,
    models: ['m'],
    stepMilliseconds: 11,
    readTokensPerSecond: 21_300,
    meanPromptTokens: 900,
    meanAnswerTokens: 80,
    tokensPerEvent: 1,
  },
  origin: undefined,
};

/** A pool with one server that has `running` requests and a round trip of `delayMilliseconds` to its box. */
function poolWithLoad(running: number, delayMilliseconds = 0): ServerPool {
  const clock = new ManualClock();
  clock.advance(10_000);
  const pool = new ServerPool({
    dataCentre: 'north',
    clock,
    random: new SeededRandom(1),
    log: new EventLog({ write: () => true }, 'off', { box: 'entry', dataCentre: 'north' }),
    signals: servingSignals(clock),
    service: () => CHAT,
    permission: EVERYWHERE,
    entries: () => 1,
    entriesInDataCentre: () => 1,
    isRouted: () => true,
    linkDelay: (host) => (host === '127.0.0.1' ? delayMilliseconds : 0),
  });
  const models = [{ name: 'm', version: 1 }];
  const place = { address: '127.0.0.1:1', dataCentre: 'north', slots: SLOTS, draining: false };
  pool.update([{ id: 'i-1', startedAt: 0, service: 'chat', models, ...place }]);
  pool.noteStatus('127.0.0.1', {
    type: 'box-status',
    state: 'serving',
    model: 'm',
    version: 1,
    running,
    queued: 0,
    slowLink: false,
  });
  return pool;
}

function requirements(isContinuation: boolean): ServerRequirements {
  return {
    service: 'chat',
    permittedRegions: 'any',
    model: 'm',
    minVersion: 0,
    minVersionIfSlow: 0,
    preferredVersion: 0,
    newestVersion: 1,
    objectiveMilliseconds: 500,
    isContinuation,
    tried: new Set(),
  };
}

test('should have room on a full server for a stream that is handed over, but not for new requests', () => {
  const kinds = (running: number): string[] =>
    [false, true].map((isContinuation) => poolWithLoad(running).find(requirements(isContinuation)).kind);
  expect(kinds(SLOTS - 1)).toEqual(['found', 'found']);
  expect(kinds(SLOTS)).toEqual(['none', 'found']);
  expect(kinds(SLOTS + 1)).toEqual(['none', 'none']);
});

test('should consider a link slow when round trips to the box take long', () => {
  const slow = [SLOW_LINK_MILLISECONDS, SLOW_LINK_MILLISECONDS + 1].map((delayMilliseconds) =>
    poolWithLoad(0, delayMilliseconds)
      .all()
      .map(({ slowLink }) => slowLink),
  );
  expect(slow).toEqual([[false], [true]]);
});
