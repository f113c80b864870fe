/** Evacuations in force, and whether their list is known, while the store and the sources of records fail. */
import { beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { EvacuationFollower, PROVISIONAL_WAIT_MILLISECONDS } from '../src/locality/evacuationFollower.js';
import {
  EvacuationRollbackPolicy,
  RETAINED_EVACUATION_MILLISECONDS,
} from '../src/locality/evacuationRollbackPolicy.js';
import { Evacuations } from '../src/locality/evacuations.js';
import { RecordReplica } from '../src/records/recordReplica.js';
import { RetainedRecords } from '../src/records/retainedRecords.js';
import { orderedRevision } from '../src/records/storeRevision.js';
import { ManualClock } from '../src/utils/clock.js';
import { createRecordingLog } from './fixtures/recordingLog.js';
import { quietLog } from './fixtures/quietLog.js';

const NEVER = Number.NEGATIVE_INFINITY;
let clock: ManualClock;
let replica: RecordReplica;
let evacuations: Evacuations;
let follower: EvacuationFollower;
let isNotProvided: boolean;
let recording: ReturnType<typeof createRecordingLog>;

beforeEach(() => {
  clock = new ManualClock();
  recording = createRecordingLog();
  isNotProvided = false;
  const options = { kind: 'evacuations', mayHaveExpired: () => false, clock, log: quietLog() };
  const policy = new EvacuationRollbackPolicy();
  replica = new RecordReplica('evacuations', undefined, new RetainedRecords({ ...options, policy }));
  evacuations = new Evacuations();
  follower = new EvacuationFollower({
    replica,
    evacuations,
    isNotProvided: () => isNotProvided,
    source: () => 'store',
    maxAgeMilliseconds: () => 1_500,
    isKnownDataCentre: (name) => name !== 'nowhere',
    clock,
    log: recording.log,
  });
});

function list(generation: number, number: number, ...names: string[]): void {
  const revision = orderedRevision({ generation, number });
  replica.applyListing({ revision, objects: names.map((name) => ({ name, revision, value: {} })) });
}

test('should know the list once the store or a source has provided it, and keep knowing it', () => {
  expect(follower.isKnown).toEqual(false);
  list(0, 1);
  expect([follower.isKnown, evacuations.dataCentres]).toEqual([true, []]);
});

test('should not wait for a list that a source of an older build does not have', () => {
  isNotProvided = true;
  expect(follower.isKnown).toEqual(true);
  isNotProvided = false;
  expect(follower.isKnown).toEqual(true);
});

/** Guards against accepting requests with a list from before an evacuation that other entries already follow. */
test('should use a list that may be old only when no confirmed one arrives', () => {
  replica.applyProvisional([{ name: 'north', revision: 1, value: {} }]);
  clock.advance(PROVISIONAL_WAIT_MILLISECONDS - 1);
  expect([follower.isKnown, evacuations.has('north')]).toEqual([false, true]);
  clock.advance(1);
  expect(follower.isKnown).toEqual(true);
  list(0, 2);
  expect(evacuations.has('north')).toEqual(false);
});

test('should log when an evacuation begins and ends, and count only data centres that exist', () => {
  list(0, 1, 'nowhere');
  list(0, 2, 'nowhere', 'north');
  expect(follower.evacuatedDataCentres).toEqual(1);
  clock.advance(700);
  list(0, 3, 'nowhere');
  const shown = recording.lines.map(
    ({ step, evacuated, known, source, maxAgeMilliseconds, lastedMilliseconds }) => [
      step,
      evacuated,
      known,
      source,
      maxAgeMilliseconds,
      lastedMilliseconds,
    ],
  );
  expect(shown).toEqual([
    ['evacuation.begun', 'nowhere', false, 'store', undefined, undefined],
    ['evacuation.begun', 'north', true, 'store', 1_500, undefined],
    ['evacuation.ended', 'north', true, 'store', 1_500, 700],
  ]);
});

/** Guards against sending requests to an evacuated data centre before the operator has written its evacuation again. */
test('should keep an evacuation that a rollback of the store lost, for a bounded time in which the store answers', () => {
  list(0, 5, 'north');
  list(1, 3);
  clock.advance(RETAINED_EVACUATION_MILLISECONDS - 1);
  replica.releaseRetained(NEVER, clock.now());
  expect(evacuations.has('north')).toEqual(true);
  clock.advance(RETAINED_EVACUATION_MILLISECONDS);
  replica.releaseRetained(clock.now() - 1, clock.now());
  expect(evacuations.has('north')).toEqual(true);
  replica.releaseRetained(NEVER, clock.now());
  expect(evacuations.has('north')).toEqual(false);
});

test('should follow an ended evacuation that an older copy of the store contains again', () => {
  list(0, 5, 'north');
  list(0, 6);
  list(1, 5, 'north');
  expect(evacuations.has('north')).toEqual(true);
  list(1, 6);
  expect(evacuations.has('north')).toEqual(false);
});
