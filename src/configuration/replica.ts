/** An entry's copy of the objects in the object API: the highest known revision of each, including deletions. */
import { EventEmitter } from 'node:events';
import { DIGEST_BUCKETS } from '../protocol/replicationMessages.js';
import type { ReplicatedRecord } from '../protocol/replicationMessages.js';
import { placementHash } from '../utils/hash.js';

interface ReplicaEvents {
  /** A record was added or replaced by a newer one. `source` is the peer that sent it, 'api' or 'self'. */
  change: [record: ReplicatedRecord, source: string];
}

/** The highest revision of a record always wins, so records from an outdated peer or a late watch are ignored. */
export class Replica extends EventEmitter<ReplicaEvents> {
  private readonly _records = new Map<string, ReplicatedRecord>();
  private readonly _buckets = new Uint32Array(DIGEST_BUCKETS);
  private _highestRevision = 0;

  get highestRevision(): number {
    return this._highestRevision;
  }

  get size(): number {
    return this._records.size;
  }

  /** Stores a record if it is newer than the known one; returns whether it was stored. */
  apply(record: ReplicatedRecord, source: string): boolean {
    const known = this._records.get(record.key);
    if (known && known.revision >= record.revision) return false;
    const bucket = bucketOf(record.key);
    if (known) this._buckets[bucket] ^= fingerprint(known);
    this._buckets[bucket] ^= fingerprint(record);
    this._records.set(record.key, record);
    this._highestRevision = Math.max(this._highestRevision, record.revision);
    this.emit('change', record, source);
    return true;
  }

  /** Applies a complete listing. Marks a known object as deleted if it is neither in the listing nor newer than it. */
  applyListing(revision: number, records: readonly ReplicatedRecord[], source: string): void {
    const listed = new Set(records.map((record) => record.key));
    for (const record of records) this.apply(record, source);
    for (const { key, deleted, revision: known } of [...this._records.values()]) {
      if (!deleted && known <= revision && !listed.has(key))
        this.apply({ key, revision, value: null, deleted: true }, source);
    }
  }

  /** Returns the record of `key`, also when it is a deletion. */
  record(key: string): ReplicatedRecord | undefined {
    return this._records.get(key);
  }

  /** Returns the value of `key`; undefined when the object does not exist. */
  value(key: string): unknown {
    const record = this._records.get(key);
    return record && !record.deleted ? record.value : undefined;
  }

  /** Returns the revision of `key`; 0 when the object does not exist, as conditional writes expect it. */
  liveRevision(key: string): number {
    const record = this._records.get(key);
    return record && !record.deleted ? record.revision : 0;
  }

  /** Returns all records of a kind, including deletions. */
  recordsOf(kind: string): ReplicatedRecord[] {
    const prefix = `${kind}/`;
    return [...this._records.values()].filter((record) => record.key.startsWith(prefix));
  }

  /** Returns one hash per bucket of keys; replicas with equal records have equal hashes. */
  digest(): number[] {
    return [...this._buckets];
  }

  /** Returns the records of all buckets whose hash differs from that in `digest`. */
  recordsDifferingFrom(digest: readonly number[]): ReplicatedRecord[] {
    const differing = new Set<number>();
    this._buckets.forEach((hash, bucket) => {
      if (digest[bucket] !== hash) differing.add(bucket);
    });
    if (differing.size === 0) return [];
    return [...this._records.values()].filter((record) => differing.has(bucketOf(record.key)));
  }
}

function bucketOf(key: string): number {
  return placementHash('bucket', key) % DIGEST_BUCKETS;
}

function fingerprint(record: ReplicatedRecord): number {
  return placementHash(record.key, String(record.revision));
}
