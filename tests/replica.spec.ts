/** Replica: keeps the highest revision of each record, in whatever order records arrive. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { Replica } from '../src/configuration/replica.js';
import type { ReplicatedRecord } from '../src/protocol/replicationMessages.js';

function record(revision: number, deleted = false, key = 'configuration/a/b'): ReplicatedRecord {
  return { key, revision, value: deleted ? null : { revision }, deleted };
}

test('should ignore an older revision from a stale peer', () => {
  const replica = new Replica();
  replica.apply(record(5), 'api');
  expect(replica.apply(record(4), 'peer')).toEqual(false);
  expect(replica.liveRevision('configuration/a/b')).toEqual(5);
});

test('should not restore a deleted object when a watch delivers an older revision', () => {
  const replica = new Replica();
  replica.apply(record(6, true), 'peer');
  replica.apply(record(5), 'api');
  expect(replica.value('configuration/a/b')).toEqual(undefined);
});

test('should delete objects that a listing does not contain, unless they are newer than the listing', () => {
  const replica = new Replica();
  replica.apply(record(3, false, 'configuration/a/old'), 'api');
  replica.apply(record(9, false, 'configuration/a/new'), 'peer');
  replica.applyListing(7, [], 'api');
  expect(replica.value('configuration/a/old')).toEqual(undefined);
  expect(replica.value('configuration/a/new')).toEqual({ revision: 9 });
});

test('should end at the highest revision of each key, in any order of arrival', () => {
  const arrivals = fc.array(
    fc.record({ key: fc.constantFrom('a', 'b', 'c'), revision: fc.integer({ min: 1, max: 50 }) }),
  );
  fc.assert(
    fc.property(arrivals, (items) => {
      const replica = new Replica();
      for (const { key, revision } of items)
        replica.apply(record(revision, revision % 3 === 0, `kind/${key}`), 'peer');
      for (const { key } of items) {
        const highest = Math.max(...items.filter((item) => item.key === key).map((item) => item.revision));
        expect(replica.record(`kind/${key}`)?.revision).toEqual(highest);
      }
    }),
    { seed: 11 },
  );
});

test('should converge with a peer that missed records, by comparing digests', () => {
  const one = new Replica();
  const two = new Replica();
  for (let index = 1; index <= 200; index++) {
    one.apply(record(index, false, `kind/${index}`), 'api');
    if (index % 7 !== 0) two.apply(record(index, false, `kind/${index}`), 'api');
  }
  for (const missed of one.recordsDifferingFrom(two.digest())) two.apply(missed, 'one');
  expect(two.digest()).toEqual(one.digest());
  expect(one.recordsDifferingFrom(two.digest())).toEqual([]);
});
