/** Objects of the store that cannot be understood: each is told once, and counted. */
import type { Result } from 'neverthrow';
import type { EventLog } from '../telemetry/eventLog.js';
import { revisionFields } from './storeRevision.js';
import type { StoredObject } from './watchableStore.js';

export class UnreadableRecords {
  private readonly _log: EventLog;
  private readonly _reported = new WeakSet<StoredObject>();
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
    this._report(kind, object, read.error);
    return undefined;
  }

  /** Notes an object that has not even a name. */
  reportNameless(kind: string, reason: string): void {
    this._total++;
    this._log.state('record.nameless', { kind, reason });
  }

  private _report(kind: string, object: StoredObject, reason: string): void {
    if (this._reported.has(object)) return;
    this._reported.add(object);
    const { name, revision } = object;
    this._total++;
    this._log.state('record.unreadable', { kind, name, ...revisionFields(revision), reason });
  }
}
