/** Records that stay in force after a rollback, and the later updates of the store that confirm or replace them. */
import { beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { RecordReplica } from '../src/records/recordReplica.js';
import { RetainedRecords } from '../src/records/retainedRecords.js';
import { orderedRevision } from '../src/records/storeRevision.js';
import type { KindListing, StoredObject } from '../src/records/watchableStore.js';
import { ManualClock } from '../src/utils/clock.js';
import { quietLog } from './fixtures/quietLog.js';

const RETAINED = 1_000;
let clock: ManualClock;
let mayHaveExpired: boolean;
let replica: RecordReplica;

function replicaOf(): RecordReplica {
  const deleted = ({ value }: StoredObject): number => (value === null ? 0 : RETAINED);
  const policy = { replaced: () => RETAINED, missing: () => RETAINED, deleted };
  const options = { kind: 'servers', policy, mayHaveExpired: () => mayHaveExpired, clock, log: quietLog() };
  return new RecordReplica('servers', undefined, new RetainedRecords(options));
}

beforeEach(() => {
  clock = new ManualClock();
  mayHaveExpired = false;
  replica = replicaOf();
});

function at(generation: number, number: number): number {
  return orderedRevision({ generation, number });
}

function object(name: string, revision: number, value: unknown = 'ready'): StoredObject {
  return { name, revision, value };
}

function listing(revision: number, ...objects: StoredObject[]): KindListing {
  return { revision, objects };
}

function remove(name: string, revision: number): void {
  replica.applyChanges(revision, [{ object: object(name, revision), gone: true }]);
}

function names(of = replica): string[] {
  return [...of.objects.keys()].sort();
}

/** Lets retained records expire, while the store answers. */
function expireRetained(): void {
  clock.advance(RETAINED);
  replica.releaseRetained(Number.NEGATIVE_INFINITY, clock.now());
}

/** Updates the replica as when the store has `a` and `b`, deletes `b` and is rolled back to a snapshot with both. */
function rollBackAfterDeletion(): void {
  replica.applyListing(listing(at(0, 5), object('a', at(0, 1)), object('b', at(0, 2))));
  remove('b', at(0, 6));
  replica.applyListing(listing(at(1, 3), object('a', at(1, 1)), object('b', at(1, 2))));
}

test('should not restore a deleted object that a later listing lacks too', () => {
  rollBackAfterDeletion();
  expect(names()).toEqual(['a']);
  replica.applyListing(listing(at(1, 4), object('a', at(1, 1))));
  expireRetained();
  expect(names()).toEqual(['a']);
});

test('should not restore a deleted object that a listing in several pages lacked before its deletion was watched', () => {
  const b = object('b', at(0, 2));
  replica.applyListing(listing(at(0, 5), object('a', at(0, 1)), b));
  replica.applyListing(listing(at(0, 5), object('a', at(0, 1))));
  replica.applyChanges(at(0, 6), [{ object: object('b', at(0, 6), null), gone: true }]);
  replica.applyListing(listing(at(1, 3), object('a', at(1, 1)), object('b', at(1, 2))));
  expect(names()).toEqual(['a']);
});

test('should restore a deleted object once its retention has expired and the store still has it', () => {
  rollBackAfterDeletion();
  expireRetained();
  expect(names()).toEqual(['a', 'b']);
});

test('should restore a deleted object once it is written again', () => {
  rollBackAfterDeletion();
  replica.applyChanges(at(1, 4), [{ object: object('b', at(1, 4)), gone: false }]);
  expect(names()).toEqual(['a', 'b']);
});

test('should apply a deletion that has the revision of the change before', () => {
  replica.applyListing(listing(at(0, 5), object('a', at(0, 4), 'draining')));
  replica.applyListing(listing(at(1, 3), object('a', at(1, 1))));
  expect(replica.objects.get('a')?.value).toEqual('draining');
  replica.applyChanges(at(1, 4), [{ object: object('a', at(1, 1)), gone: true }]);
  expect(names()).toEqual([]);
});

test('should remember an object that one answer both creates and deletes', () => {
  replica.applyListing(listing(at(0, 5)));
  replica.applyChanges(at(0, 7), [
    { object: object('b', at(0, 6)), gone: false },
    { object: object('b', at(0, 7)), gone: true },
  ]);
  replica.applyListing(listing(at(1, 6), object('b', at(1, 6))));
  expect(names()).toEqual([]);
});

test('should not treat an object as deleted if a listing lacks it after an outage', () => {
  replica.applyListing(listing(at(0, 5), object('b', at(0, 2))));
  mayHaveExpired = true;
  replica.applyListing(listing(at(0, 6)));
  mayHaveExpired = false;
  replica.applyListing(listing(at(1, 3), object('b', at(1, 2))));
  expect(names()).toEqual(['b']);
});

test('should retain across a second rollback what another entry sent after the first', () => {
  rollBackAfterDeletion();
  const other = replicaOf();
  other.applyListing(listing(at(1, 3), object('a', at(1, 1)), object('b', at(1, 2))));
  other.adoptRetained(replica.revision, replica.retained);
  expect(names(other)).toEqual(['a']);
  other.applyListing(listing(at(2, 3), object('a', at(2, 1)), object('b', at(2, 2))));
  expect(names(other)).toEqual(['a']);
});

test('should adopt the records of another entry once it has a copy of their generation', () => {
  rollBackAfterDeletion();
  const other = replicaOf();
  other.adoptRetained(replica.revision, replica.retained);
  other.applyListing(listing(at(1, 3), object('a', at(1, 1)), object('b', at(1, 2))));
  expect(names(other)).toEqual(['a']);
});

test('should not adopt a record whose retention has expired', () => {
  rollBackAfterDeletion();
  clock.advance(RETAINED);
  const other = replicaOf();
  other.applyListing(listing(at(1, 3), object('a', at(1, 1)), object('b', at(1, 2))));
  other.adoptRetained(replica.revision, replica.retained);
  expect(names(other)).toEqual(['a', 'b']);
});

test('should provide what the store has, not what is retained', () => {
  rollBackAfterDeletion();
  expect(replica.stored.map(({ name }) => name).sort()).toEqual(['a', 'b']);
});

test('should report a change in the store that a retained record hides', () => {
  rollBackAfterDeletion();
  const changedNames: string[] = [];
  replica.on('change', ({ changes }) => changedNames.push(...changes.map(({ object: { name } }) => name)));
  remove('b', at(1, 4));
  expect(changedNames).toEqual(['b']);
});
