/** A copy of the store's records never goes back, whatever the source and the order of its updates. */
import { test } from 'node:test';
import { expect } from 'earl';
import { err, ok } from 'neverthrow';
import type { ReplicaChange } from '../src/records/recordReplica.js';
import { RecordReplica } from '../src/records/recordReplica.js';
import type { ObjectChange, StoredObject } from '../src/records/watchableStore.js';
import { UnreadableRecords } from '../src/records/unreadableRecords.js';
import type { BackendServerRecord } from '../src/serving/backendServerRecord.js';
import { ServerRecordDecoder } from '../src/serving/serverRecordDecoder.js';
import type { RecordReader } from '../src/serving/platformRecords.js';
import { quietLog } from './fixtures/quietLog.js';

function object(name: string, revision: number, value: unknown = revision): StoredObject {
  return { name, revision, value };
}

function set(name: string, revision: number): ObjectChange {
  return { object: object(name, revision), gone: false };
}

function gone(name: string, revision: number): ObjectChange {
  return { object: object(name, revision), gone: true };
}

function names(replica: RecordReplica): string[] {
  return [...replica.objects.keys()].sort();
}

function filled(revision: number): RecordReplica {
  const replica = new RecordReplica('servers');
  replica.applyListing({ revision, objects: [object('a', 5), object('b', 7)] });
  return replica;
}

test('should apply changes that follow its listing', () => {
  const replica = filled(10);
  replica.applyChanges(12, [set('c', 11), gone('a', 12)]);
  expect(names(replica)).toEqual(['b', 'c']);
  expect(replica.revision).toEqual(12);
});

test('should not go back with a listing that is older than its copy', () => {
  const replica = filled(10);
  replica.applyListing({ revision: 9, objects: [] });
  expect(names(replica)).toEqual(['a', 'b']);
  expect(replica.revision).toEqual(10);
});

test('should not bring back what has been deleted when an older change comes late', () => {
  const replica = filled(10);
  replica.applyChanges(12, [gone('a', 11)]);
  replica.applyChanges(11, [set('a', 11)]);
  replica.applyChanges(13, [set('a', 10), set('b', 13)]);
  expect(names(replica)).toEqual(['b']);
  expect(replica.objects.get('b')?.revision).toEqual(13);
});

test('should not lose an object that was created again when an older deletion comes late', () => {
  const replica = filled(10);
  replica.applyChanges(14, [set('a', 14)]);
  replica.applyChanges(15, [gone('a', 12)]);
  expect(names(replica)).toEqual(['a', 'b']);
});

test('should apply a deletion that has the revision of the last change', () => {
  const replica = filled(10);
  replica.applyChanges(11, [gone('b', 7)]);
  expect(names(replica)).toEqual(['a']);
});

test('should distinguish the revision of its newest change from that of its completeness', () => {
  const replica = filled(10);
  expect([replica.revision, replica.newestChange]).toEqual([10, 7]);
  replica.applyChanges(30, []);
  expect([replica.revision, replica.newestChange]).toEqual([30, 7]);
  replica.applyChanges(31, [set('a', 31)]);
  expect(replica.newestChange).toEqual(31);
});

test('should emit used changes only', () => {
  const replica = new RecordReplica('servers', (before, after) =>
    before?.value === after?.value ? 'none' : 'urgent',
  );
  const seen: ReplicaChange[] = [];
  replica.on('change', (change) => void seen.push(change));
  replica.applyListing({ revision: 1, objects: [object('a', 1, 'x')] });
  replica.applyListing({ revision: 2, objects: [object('a', 2, 'x')] });
  expect(replica.applyChanges(3, [{ object: object('a', 3, 'x'), gone: false }])).toEqual('none');
  expect(replica.applyChanges(4, [{ object: object('a', 4, 'y'), gone: false }])).toEqual('urgent');
  expect(seen.map(({ whole }) => whole)).toEqual([true, false]);
});

test('should classify a change of a server by its fields', () => {
  const record: BackendServerRecord = {
    id: 'a',
    startedAt: 0,
    service: 's',
    address: '127.0.0.1:1',
    dataCentre: 'north',
    slots: 8,
    draining: false,
    models: [{ name: 'm', version: 1 }],
  };
  const reader: RecordReader = {
    kinds: {
      configuration: 'configuration',
      servers: 'servers',
      versions: 'versions',
      evacuations: 'evacuations',
      suspicions: 'suspicions',
    },
    configuration: () => err('not used'),
    server: (_name, value) => ok(value as BackendServerRecord),
    version: () => err('not used'),
  };
  const decoded = new ServerRecordDecoder(reader, new UnreadableRecords(quietLog()));
  const before = object('a', 1, record);
  const changed = (changes: Partial<BackendServerRecord>): StoredObject =>
    object('a', 2, { ...record, ...changes });
  expect(decoded.classifyChange(before, changed({}))).toEqual('none');
  expect(decoded.classifyChange(before, changed({ models: [{ name: 'm', version: 2 }] }))).toEqual('minor');
  expect(decoded.classifyChange(before, changed({ draining: true }))).toEqual('urgent');
  expect(decoded.classifyChange(before, undefined)).toEqual('urgent');
  expect(decoded.classifyChange(undefined, before)).toEqual('urgent');
});
