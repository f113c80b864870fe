/** Objects of the store that cannot be understood: each is told once, and counted. */
import type { Result } from 'neverthrow';
import type { EventLog } from '../telemetry/eventLog.js';
import { revisionFields } from './storeRevision.js';
import type { StoredObject } from './watchableStore.js';

export class UnreadableRecords {
  private readonly _log: EventLog;
  private readonly _told = new WeakSet<StoredObject>();
  private _total = 0;

  constructor(log: EventLog) {
    this._log = log;
  }

  /** How many there have been. */
  get total(): number {
    return this._total;
  }

  /** What was read of `object`; undefined, and noted, if it says nothing that can be used. */
  valueOf<T>(kind: string, object: StoredObject, read: Result<T, string>): T | undefined {
    if (read.isOk()) return read.value;
    this._note(kind, object, read.error);
    return undefined;
  }

  /** Notes an object that has not even a name. */
  noteNameless(kind: string, reason: string): void {
    this._total++;
    this._log.state('record.nameless', { kind, reason });
  }

  private _note(kind: string, object: StoredObject, reason: string): void {
    if (this._told.has(object)) return;
    this._told.add(object);
    const { name, revision } = object;
    this._total++;
    this._log.state('record.unreadable', { kind, name, ...revisionFields(revision), reason });
  }
}
