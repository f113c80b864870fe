/** Decodes the records of backend servers and caches the result for each stored object. */
import type { ChangeUrgency } from '../records/recordReplica.js';
import type { UnreadableRecords } from '../records/unreadableRecords.js';
import type { StoredObject } from '../records/watchableStore.js';
import type { BackendServerRecord } from './backendServerRecord.js';
import type { Clock } from '../utils/clock.js';
import { SystemClock } from '../utils/clock.js';
import type { RecordReader } from './platformRecords.js';

/** Ends of a warm-up that differ by less are the same end, since records arrive with different delays. */
const SAME_END_MILLISECONDS = 500;

export class ServerRecordDecoder {
  private readonly _reader: RecordReader;
  private readonly _unreadable: UnreadableRecords;
  private readonly _clock: Clock;
  private readonly _decoded = new WeakMap<StoredObject, { record: BackendServerRecord | undefined }>();

  constructor(reader: RecordReader, unreadable: UnreadableRecords, clock: Clock = new SystemClock()) {
    this._clock = clock;
    this._reader = reader;
    this._unreadable = unreadable;
  }

  /** Returns the record in an object; undefined if it is invalid. */
  decode(object: StoredObject): BackendServerRecord | undefined {
    let decoded = this._decoded.get(object);
    if (!decoded) {
      decoded = { record: this._read(object) };
      this._decoded.set(object, decoded);
    }
    return decoded.record;
  }

  /**
   * Classifies a change for server selection. A change of models is minor, since agents report it sooner. That a server
   * remains cold for a shorter time than before is no change if that time has passed.
   */
  classifyChange(before: StoredObject | undefined, after: StoredObject | undefined): ChangeUrgency {
    const old = before && this.decode(before);
    const next = after && this.decode(after);
    if (!old || !next) return old === next ? 'none' : 'urgent';
    if (staticPartOf(old) !== staticPartOf(next) || isColdLonger(old, next)) return 'urgent';
    return JSON.stringify(old.models) === JSON.stringify(next.models) ? 'none' : 'minor';
  }

  private _read(object: StoredObject): BackendServerRecord | undefined {
    const { kinds } = this._reader;
    const record = this._unreadable.unwrapOrReport(
      kinds.servers,
      object,
      this._reader.server(object.name, object.value),
    );
    if (!record?.coldLeftMilliseconds) return record;
    return { ...record, coldUntil: this._clock.now() + record.coldLeftMilliseconds };
  }
}

/** Returns everything in a record except its models and the warm-up, for comparison. */
function staticPartOf(record: BackendServerRecord): string {
  return JSON.stringify({
    ...record,
    models: undefined,
    ordersTaken: undefined,
    coldLeftMilliseconds: undefined,
    coldUntil: undefined,
  });
}

/** Whether the server remains cold for considerably longer than its former record said. */
function isColdLonger(
  { coldUntil: oldEnd }: BackendServerRecord,
  { coldUntil: end }: BackendServerRecord,
): boolean {
  return end !== undefined && (oldEnd === undefined || end > oldEnd + SAME_END_MILLISECONDS);
}
