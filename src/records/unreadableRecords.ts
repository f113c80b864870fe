/** Counts the objects of the store that cannot be read, and logs each of them once. */
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

  /** Number of unreadable objects so far. */
  get total(): number {
    return this._total;
  }

  /** Returns the value that was read from `object`. If reading failed, reports the object and returns undefined. */
  unwrapOrReport<T>(kind: string, object: StoredObject, read: Result<T, string>): T | undefined {
    if (read.isOk()) return read.value;
    this._report(kind, object, read.error);
    return undefined;
  }

  /** Reports an object without a name. */
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
