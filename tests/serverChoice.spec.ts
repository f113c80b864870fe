/** Tests the choice of the backend server for a request. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { Candidate } from '../src/serving/serverChoice.js';
import { chooseServer, expectedCost, canMeetObjective } from '../src/serving/serverChoice.js';
import { VersionGate } from '../src/serving/versionGate.js';
import { ManualClock } from '../src/utils/clock.js';
import { SeededRandom } from '../src/utils/random.js';

const ENGINE = {
  serviceMilliseconds: 900,
  readMilliseconds: 30,
  typicalFirstByteMilliseconds: 180,
  maxFill: 1,
  batchSlowdown: 0,
  tieMilliseconds: 24,
};

function candidate(id: string, changes: Partial<Candidate> = {}): Candidate {
  return {
    id,
    sameDataCentre: true,
    slots: 16,
    load: 0,
    pendingPrompts: 0,
    failureRate: 0,
    firstByteMilliseconds: 100,
    slowLink: false,
    outdated: false,
    preparing: false,
    avoided: false,
    failing: false,
    ...changes,
  };
}

test('should prefer the server with fewer prompts to read', () => {
  expect(expectedCost(candidate('a', { pendingPrompts: 3 }), ENGINE)).toBeGreaterThan(
    expectedCost(candidate('b', { load: 4 }), ENGINE),
  );
});

test('should use another data centre only when the own one costs more', () => {
  const random = new SeededRandom(1);
  const far = candidate('far', { sameDataCentre: false });
  expect(chooseServer([candidate('near', { load: 1 }), far], ENGINE, 400, random)?.id).toEqual('near');
  expect(chooseServer([candidate('near', { load: 15 }), far], ENGINE, 400, random)?.id).toEqual('far');
});

test('should not always prefer an empty server, which all entries see at the same time', () => {
  const servers = [candidate('empty'), candidate('half', { load: 8 }), candidate('more', { load: 10 })];
  const counts = new Map<string, number>();
  const random = new SeededRandom(3);
  for (let request = 0; request < 300; request++) {
    const id = chooseServer(servers, ENGINE, 400, random)?.id ?? '';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  expect(counts.get('empty') ?? 0).toBeLessThan(180);
  expect(counts.get('half') ?? 0).toBeGreaterThan(50);
});

test('should avoid a server whose batch is nearly full or that is about to switch versions', () => {
  const random = new SeededRandom(1);
  const free = candidate('free', { load: 6 });
  expect(chooseServer([candidate('full', { load: 15.5 }), free], ENGINE, 400, random)?.id).toEqual('free');
  expect(chooseServer([candidate('preparing', { preparing: true }), free], ENGINE, 400, random)?.id).toEqual(
    'free',
  );
});

test('should not send more to a server than it can answer in time', () => {
  expect(canMeetObjective(candidate('free', { load: 15, pendingPrompts: 4 }), ENGINE, 400)).toEqual(true);
  expect(canMeetObjective(candidate('full', { load: 16 }), ENGINE, 400)).toEqual(false);
  expect(canMeetObjective(candidate('reading', { load: 10, pendingPrompts: 9 }), ENGINE, 400)).toEqual(false);
});

test('should avoid a server with a slow link', () => {
  const narrow = candidate('narrow', { slowLink: true });
  const chosen = chooseServer([narrow, candidate('busy', { load: 12 })], ENGINE, 400, new SeededRandom(1));
  expect(chosen?.id).toEqual('busy');
});

test('should avoid a server that has become slow', () => {
  const slow = candidate('slow', { firstByteMilliseconds: 900 });
  const chosen = chooseServer([slow, candidate('busy', { load: 12 })], ENGINE, 400, new SeededRandom(1));
  expect(chosen?.id).toEqual('busy');
});

test('should use an avoided server only when there is no other', () => {
  const random = new SeededRandom(1);
  const avoided = candidate('avoided', { avoided: true });
  expect(chooseServer([avoided, candidate('busy', { load: 15 })], ENGINE, 400, random)?.id).toEqual('busy');
  expect(chooseServer([avoided], ENGINE, 400, random)?.id).toEqual('avoided');
});

test('should not send overflow to a repeatedly failing server', () => {
  const random = new SeededRandom(1);
  const failing = candidate('failing', { failing: true });
  const full = candidate('full', { load: 16 });
  expect(chooseServer([failing, full], ENGINE, 400, random)).toEqual(undefined);
  expect(chooseServer([failing], ENGINE, 400, random)?.id).toEqual('failing');
});

test('should use a server that has just rejected a request when the others have no room', () => {
  const refused = candidate('refused', { avoided: true });
  const full = candidate('full', { load: 16 });
  expect(chooseServer([refused, full], ENGINE, 400, new SeededRandom(1))?.id).toEqual('refused');
});

test('should not send everything to one server while load reports do not change', () => {
  const random = new SeededRandom(5);
  const servers = Array.from({ length: 12 }, (_unused, index) =>
    candidate(`s${index}`, { load: index * 0.1 }),
  );
  const counts = new Map<string, number>();
  for (let request = 0; request < 120; request++) {
    const id = chooseServer(servers, ENGINE, 400, random)?.id ?? '';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  expect(Math.max(...counts.values())).toBeLessThan(60);
});

test('should prefer servers with the newest version some time before the deadline of older ones', () => {
  const old = candidate('old', { outdated: true });
  const chosen = chooseServer([old, candidate('new', { load: 8 })], ENGINE, 400, new SeededRandom(1));
  expect(chosen?.id).toEqual('new');
  const clock = new ManualClock();
  const gate = new VersionGate({ switchMilliseconds: 8_000, contactMilliseconds: 3_000 }, clock);
  gate.noteTarget('m', 2, 0);
  clock.advance(4_900);
  expect(gate.preferredMinVersion('m')).toEqual(0);
  clock.advance(200);
  expect(gate.preferredMinVersion('m')).toEqual(2);
});

test('should spread requests over more servers when told to, as all entries see the same loads', () => {
  const servers = [
    candidate('empty', { load: 4 }),
    ...['a', 'b', 'c', 'd', 'e'].map((id) => candidate(id, { load: 12 })),
  ];
  const random = new SeededRandom(1);
  const sentToEmpty = (spread: boolean): number =>
    Array.from({ length: 300 }, () =>
      chooseServer(servers, ENGINE, 400, random, { reservedShare: 0, spread }),
    ).filter((chosen) => chosen?.id === 'empty').length;
  expect(sentToEmpty(false) > 180).toEqual(true);
  expect(sentToEmpty(true) < 120).toEqual(true);
});

test('should not send to a server whose free slots are reserved', () => {
  const servers = [candidate('a', { load: 12 })];
  const random = new SeededRandom(1);
  const chosen = [0.2, 0.3].map((reservedShare) =>
    chooseServer(servers, ENGINE, 400, random, { reservedShare, spread: false }),
  );
  expect(chosen.map((server) => server?.id)).toEqual(['a', undefined]);
});
