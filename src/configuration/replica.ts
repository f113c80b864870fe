/** Every entry's copy of the object API: the highest revision of each object, deletions included. */
import { EventEmitter } from 'node:events';
import { DIGEST_BUCKETS } from '../protocol/records.js';
import type { ReplicatedRecord } from '../protocol/records.js';
import { placementHash } from '../utils/hash.js';

interface ReplicaEvents {
  /** A record was replaced by a newer one; `source` names the peer it came from, or 'api' or 'self'. */
  change: [record: ReplicatedRecord, source: string];
}

/** A newer revision always wins, so a stale peer or a late watch changes nothing. */
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

  /** Takes a record if it is newer than the one held; returns whether it was. */
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

  /** Takes a whole listing: what it lacks and was older than it has been deleted. */
  applyListing(revision: number, records: readonly ReplicatedRecord[], source: string): void {
    const listed = new Set(records.map((record) => record.key));
    for (const record of records) this.apply(record, source);
    for (const { key, deleted, revision: known } of [...this._records.values()]) {
      if (!deleted && known <= revision && !listed.has(key))
        this.apply({ key, revision, value: null, deleted: true }, source);
    }
  }

  /** The record of `key`, deleted or not. */
  record(key: string): ReplicatedRecord | undefined {
    return this._records.get(key);
  }

  /** The value of `key`, undefined when it does not exist. */
  value(key: string): unknown {
    const record = this._records.get(key);
    return record && !record.deleted ? record.value : undefined;
  }

  /** The revision of `key`; 0 when it does not exist, as a conditional write expects. */
  liveRevision(key: string): number {
    const record = this._records.get(key);
    return record && !record.deleted ? record.revision : 0;
  }

  /** All records of a kind, deletions included. */
  recordsOf(kind: string): ReplicatedRecord[] {
    const prefix = `${kind}/`;
    return [...this._records.values()].filter((record) => record.key.startsWith(prefix));
  }

  /** One hash per bucket; equal hashes mean equal records. */
  digest(): number[] {
    return [...this._buckets];
  }

  /** The records of the buckets in which `digest` differs from ours. */
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
