/** Objects of the store that cannot be understood: each is told once, and counted. */
import type { EventLog } from '../telemetry/eventLog.js';
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

  /** Notes that `object` says nothing that can be used. */
  note(kind: string, object: StoredObject, reason: string): void {
    if (this._told.has(object)) return;
    this._told.add(object);
    const { name, revision } = object;
    this._total++;
    this._log.state('record.unreadable', { kind, name, revision, reason });
  }

  /** Notes an object that has not even a name. */
  noteNameless(kind: string, reason: string): void {
    this._total++;
    this._log.state('record.nameless', { kind, reason });
  }
}
