/** At-most-once execution: which requests the ledger of an agent allows to run. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { LedgerRequest, LedgerDecision } from '../src/requests/ledger.js';
import { Ledger } from '../src/requests/ledger.js';
import type { LedgerCandidate, SlotOwner } from '../src/requests/ledgerSlots.js';
import { LEDGER_SLOT_COUNT, assignSlots, ledgerHash, slotsOf } from '../src/requests/ledgerSlots.js';
import { issueTicket, readTicket } from '../src/requests/ticket.js';
import { ManualClock } from '../src/utils/clock.js';

const SERVICE = 'studio.turns';
const LIFETIME = 1_000;
const BLIND = 1_500;
const ANSWER_BYTES = 10_000;

function ledgerWith(maximumKeys = 100): { ledger: Ledger; clock: ManualClock } {
  const clock = new ManualClock();
  const ledger = new Ledger({
    clock,
    keyLifetimeMilliseconds: LIFETIME,
    blindMilliseconds: BLIND,
    maximumKeys,
    maximumAnswerBytes: ANSWER_BYTES,
  });
  return { ledger, clock };
}

function ledgerRequest(request: Partial<LedgerRequest> = {}): LedgerRequest {
  return { key: 'k', slot: 3, slotEpoch: 2, ticketed: false, ...request };
}

const CASES: {
  description: string;
  blind: boolean;
  request: Partial<LedgerRequest>;
  decision: LedgerDecision['kind'];
}[] = [
  { description: 'the owner, same epoch', blind: false, request: {}, decision: 'run' },
  { description: 'a slot of another box', blind: false, request: { slot: 4 }, decision: 'not-owner' },
  {
    description: 'an entry with a stale table',
    blind: false,
    request: { slotEpoch: 1 },
    decision: 'not-owner',
  },
  {
    description: 'an entry with a newer table',
    blind: false,
    request: { slotEpoch: 3 },
    decision: 'not-owner',
  },
  {
    description: 'a ticket of a lost owner',
    blind: false,
    request: { slotEpoch: 1, ticketed: true },
    decision: 'uncertain',
  },
  { description: 'a bare key after the owner was lost', blind: true, request: {}, decision: 'uncertain' },
  {
    description: 'a fresh ticket after the owner was lost',
    blind: true,
    request: { ticketed: true },
    decision: 'run',
  },
];

for (const { description, blind, request, decision } of CASES) {
  test(`should answer ${decision} to ${description}`, () => {
    const { ledger } = ledgerWith();
    ledger.assign(SERVICE, [{ slot: 3, slotEpoch: 2, blind }]);
    expect(ledger.check(SERVICE, ledgerRequest(request)).kind).toEqual(decision);
  });
}

test('should let a key run once, even while it is running', () => {
  const { ledger } = ledgerWith();
  ledger.assign(SERVICE, [{ slot: 3, slotEpoch: 2, blind: false }]);
  expect(ledger.check(SERVICE, ledgerRequest()).kind).toEqual('run');
  expect(ledger.check(SERVICE, ledgerRequest()).kind).toEqual('started');
  ledger.finish('k', undefined);
  expect(ledger.check(SERVICE, ledgerRequest()).kind).toEqual('started');
});

test('should return a stored answer again', () => {
  const { ledger } = ledgerWith();
  ledger.assign(SERVICE, [{ slot: 3, slotEpoch: 2, blind: false }]);
  ledger.check(SERVICE, ledgerRequest());
  ledger.finish('k', { status: 200, contentType: 'text/plain', version: '1', body: Buffer.from('done') });
  const decision = ledger.check(SERVICE, ledgerRequest());
  expect(decision.kind === 'answered' && decision.answer.body.toString()).toEqual('done');
});

/** Guards against answers that fill the memory of the agent when each request has a new key. */
test('should drop the oldest stored answers, but no key, when all answers take too much memory', () => {
  const { ledger } = ledgerWith();
  ledger.assign(SERVICE, [{ slot: 3, slotEpoch: 2, blind: false }]);
  const keys = Array.from({ length: 20 }, (_unused, number) => `k${number}`);
  for (const key of keys) {
    ledger.check(SERVICE, ledgerRequest({ key }));
    ledger.finish(key, { status: 200, contentType: 'text/plain', version: '1', body: Buffer.alloc(1_000) });
  }
  const decisions = keys.map((key) => ledger.check(SERVICE, ledgerRequest({ key })).kind);
  const dropped = decisions.indexOf('answered');
  expect(dropped > 20 - ANSWER_BYTES / 1_000).toEqual(true);
  expect(decisions.slice(0, dropped).every((kind) => kind === 'started')).toEqual(true);
  expect(decisions.slice(dropped).every((kind) => kind === 'answered')).toEqual(true);
  expect(ledger.answerBytes <= ANSWER_BYTES).toEqual(true);
});

test('should let a key run again after it was cancelled', () => {
  const { ledger } = ledgerWith();
  ledger.assign(SERVICE, [{ slot: 3, slotEpoch: 2, blind: false }]);
  ledger.check(SERVICE, ledgerRequest());
  ledger.cancel('k');
  expect(ledger.check(SERVICE, ledgerRequest()).kind).toEqual('run');
});

test('should refuse new keys rather than drop one that may still be resent', () => {
  const { ledger, clock } = ledgerWith(1);
  ledger.assign(SERVICE, [{ slot: 3, slotEpoch: 2, blind: false }]);
  ledger.check(SERVICE, ledgerRequest({ key: 'first' }));
  ledger.finish('first', undefined);
  expect(ledger.check(SERVICE, ledgerRequest({ key: 'second' })).kind).toEqual('full');
  clock.advance(LIFETIME + 1);
  expect(ledger.check(SERVICE, ledgerRequest({ key: 'second' })).kind).toEqual('run');
});

/** Guards against a customer whose many keys keep all others from sending requests that must not run twice. */
test('should leave room for the keys of other customers', () => {
  const { ledger, clock } = ledgerWith(20);
  ledger.assign(SERVICE, [{ slot: 3, slotEpoch: 2, blind: false }]);
  const run = (key: string): string => {
    const { kind } = ledger.check(SERVICE, ledgerRequest({ key }));
    if (kind === 'run') ledger.finish(key, undefined);
    return kind;
  };
  const many = Array.from({ length: 30 }, (_unused, number) => run(`many.turns.${number}`));
  expect(many.filter((kind) => kind === 'run').length).toEqual(20);
  expect(['few.turns.1', 'few.turns.2', 'many.turns.30'].map(run)).toEqual(['run', 'run', 'full']);
  expect(ledger.size).toEqual(22);
  clock.advance(LIFETIME + 1);
  expect(['few.turns.3', 'many.turns.31'].map(run)).toEqual(['run', 'run']);
});

test('should never drop a key that is still running', () => {
  const { ledger, clock } = ledgerWith(1);
  ledger.assign(SERVICE, [{ slot: 3, slotEpoch: 2, blind: false }]);
  ledger.check(SERVICE, ledgerRequest({ key: 'long' }));
  clock.advance(LIFETIME * 10);
  expect(ledger.check(SERVICE, ledgerRequest({ key: 'other' })).kind).toEqual('full');
  expect(ledger.check(SERVICE, ledgerRequest({ key: 'long' })).kind).toEqual('started');
});

test('should stop being blind once every key of the lost owner has expired', () => {
  const { ledger, clock } = ledgerWith();
  ledger.assign(SERVICE, [{ slot: 3, slotEpoch: 2, blind: true }]);
  clock.advance(BLIND - 1);
  expect(ledger.check(SERVICE, ledgerRequest()).kind).toEqual('uncertain');
  clock.advance(1);
  expect(ledger.check(SERVICE, ledgerRequest()).kind).toEqual('run');
});

test('should not restart the blind time when the same slots are assigned again', () => {
  const { ledger, clock } = ledgerWith();
  ledger.assign(SERVICE, [{ slot: 3, slotEpoch: 2, blind: true }]);
  clock.advance(BLIND - 1);
  ledger.assign(SERVICE, [{ slot: 3, slotEpoch: 2, blind: true }]);
  clock.advance(1);
  expect(ledger.check(SERVICE, ledgerRequest()).kind).toEqual('run');
});

const BOXES: LedgerCandidate[] = ['a', 'b', 'c'].map((box) => ({ box, incarnation: `${box}1` }));

test('should distribute all slots evenly at first', () => {
  const slots = assignSlots([], BOXES, () => 'owns');
  const counts = BOXES.map(({ box }) => slots.filter((owner) => owner.box === box).length);
  expect(slots.length).toEqual(LEDGER_SLOT_COUNT);
  expect(Math.max(...counts) - Math.min(...counts) <= 1).toEqual(true);
  expect(slots.every((owner) => owner.epoch === 1 && !owner.blind)).toEqual(true);
});

test('should move only the slots of a lost owner, as blind slots with a new epoch', () => {
  const before = assignSlots([], BOXES, () => 'owns');
  const after = assignSlots(before, BOXES.slice(1), (owner) => (owner.box === 'a' ? 'lost' : 'owns'));
  after.forEach((owner, slot) => {
    if (before[slot].box === 'a') expect(owner.epoch === 2 && owner.blind && owner.box !== 'a').toEqual(true);
    else expect(owner).toEqual(before[slot]);
  });
});

test('should keep the slots of a silent owner', () => {
  const before = assignSlots([], BOXES, () => 'owns');
  expect(assignSlots(before, BOXES.slice(1), () => 'owns')).toEqual(before);
});

test('should hash the assigned slots to the same value as the table', () => {
  const slots: SlotOwner[] = assignSlots([], BOXES, () => 'owns');
  const { ledger } = ledgerWith();
  ledger.assign(SERVICE, slotsOf(slots, BOXES[1]));
  expect(ledger.hashOf(SERVICE)).toEqual(ledgerHash(slotsOf(slots, BOXES[1])));
  expect(ledger.hashOf(SERVICE) === ledgerHash(slotsOf(slots, BOXES[0]))).toEqual(false);
});

test('should read only tickets signed with its own key for the same service', () => {
  const ticket = issueTicket('a-shared-key', SERVICE, { slot: 7, slotEpoch: 4 });
  expect(readTicket('a-shared-key', SERVICE, ticket)).toEqual({ slot: 7, slotEpoch: 4 });
  expect(readTicket('another-key', SERVICE, ticket)).toEqual(undefined);
  expect(readTicket('a-shared-key', 'other.turns', ticket)).toEqual(undefined);
  expect(readTicket('a-shared-key', SERVICE, ticket.replace('.4.', '.5.'))).toEqual(undefined);
});

test('should not accept arbitrary text as a ticket', () => {
  fc.assert(
    fc.property(fc.string(), (text) => readTicket('a-shared-key', SERVICE, text) === undefined),
    { seed: 5 },
  );
});

test('should not make a slot blind when the old owner has handed over its keys', () => {
  const before = assignSlots([], BOXES, () => 'owns');
  const after = assignSlots(before, BOXES.slice(1), (owner) => (owner.box === 'a' ? 'handed-over' : 'owns'));
  after.forEach((owner, slot) => {
    if (before[slot].box === 'a') expect(owner.epoch === 2 && !owner.blind).toEqual(true);
  });
});

test('should keep a slot blind when its old owner was blind at the handover', () => {
  const lost = assignSlots([], BOXES, () => 'owns').map((owner) => ({ ...owner, blind: true }));
  const after = assignSlots(lost, BOXES.slice(1), (owner) => (owner.box === 'a' ? 'handed-over' : 'owns'));
  expect(after.every((owner) => owner.blind)).toEqual(true);
});

test('should not run a request that the earlier owner has allowed to run', () => {
  const { ledger: leaving } = ledgerWith();
  leaving.assign(SERVICE, [{ slot: 3, slotEpoch: 2, blind: false }]);
  leaving.check(SERVICE, ledgerRequest({ key: `${SERVICE}.k` }));
  const { ledger: next } = ledgerWith();
  next.importKeys(leaving.exportKeys(SERVICE));
  next.assign(SERVICE, [{ slot: 3, slotEpoch: 3, blind: false }]);
  expect(leaving.check(SERVICE, ledgerRequest({ key: `${SERVICE}.other` })).kind).toEqual('not-owner');
  expect(next.check(SERVICE, ledgerRequest({ key: `${SERVICE}.k`, slotEpoch: 3 })).kind).toEqual('started');
  expect(next.check(SERVICE, ledgerRequest({ key: `${SERVICE}.other`, slotEpoch: 3 })).kind).toEqual('run');
});
