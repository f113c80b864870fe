/** Decodes the records of backend servers and caches the result for each stored object. */
import type { ChangeUrgency } from '../records/recordReplica.js';
import type { UnreadableRecords } from '../records/unreadableRecords.js';
import type { StoredObject } from '../records/watchableStore.js';
import type { BackendServerRecord } from './backendServerRecord.js';
import type { RecordReader } from './platformRecords.js';

export class ServerRecordDecoder {
  private readonly _reader: RecordReader;
  private readonly _unreadable: UnreadableRecords;
  private readonly _decoded = new WeakMap<StoredObject, { record: BackendServerRecord | undefined }>();

  constructor(reader: RecordReader, unreadable: UnreadableRecords) {
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

  /** Classifies a change for server selection. A change of models is minor, since agents report it sooner. */
  classifyChange(before: StoredObject | undefined, after: StoredObject | undefined): ChangeUrgency {
    const old = before && this.decode(before);
    const next = after && this.decode(after);
    if (!old || !next) return old === next ? 'none' : 'urgent';
    const { models: oldModels, ...oldRest } = old;
    const { models: nextModels, ...nextRest } = next;
    if (JSON.stringify(oldRest) !== JSON.stringify(nextRest)) return 'urgent';
    return JSON.stringify(oldModels) === JSON.stringify(nextModels) ? 'none' : 'minor';
  }

  private _read(object: StoredObject): BackendServerRecord | undefined {
    const { kinds } = this._reader;
    return this._unreadable.unwrapOrReport(
      kinds.servers,
      object,
      this._reader.server(object.name, object.value),
    );
  }
}
