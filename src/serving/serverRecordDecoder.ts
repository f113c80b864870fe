/** Records of backend servers, each decoded once. */
import type { ChangeWeight } from '../records/recordReplica.js';
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

  /** The record that an object holds; undefined if it cannot be understood. */
  decode(object: StoredObject): BackendServerRecord | undefined {
    let decoded = this._decoded.get(object);
    if (!decoded) {
      decoded = { record: this._read(object) };
      this._decoded.set(object, decoded);
    }
    return decoded.record;
  }

  /** How much a change matters to those who choose servers: which version one serves is told sooner by its agent. */
  weighChange(before: StoredObject | undefined, after: StoredObject | undefined): ChangeWeight {
    const old = before && this.decode(before);
    const next = after && this.decode(after);
    if (!old || !next) return old === next ? 'none' : 'urgent';
    const { models: oldModels, ...oldPlace } = old;
    const { models: nextModels, ...nextPlace } = next;
    if (JSON.stringify(oldPlace) !== JSON.stringify(nextPlace)) return 'urgent';
    return JSON.stringify(oldModels) === JSON.stringify(nextModels) ? 'none' : 'minor';
  }

  private _read(object: StoredObject): BackendServerRecord | undefined {
    const { kinds } = this._reader;
    return this._unreadable.valueOf(kinds.servers, object, this._reader.server(object.name, object.value));
  }
}
