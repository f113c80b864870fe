/** Conditional writes that determine whether they took effect, also when the answer was lost. */
import type { ObjectApi, WriteOutcome } from '../external/objectApi.js';
import type { ReplicatedRecord } from '../protocol/replicationMessages.js';
import { pause } from '../utils/timers.js';
import type { Replica } from './replica.js';

/** The outcome of a write. `unresolved` means that it is unknown whether the write took effect. */
export type ConditionalWriteOutcome =
  | { kind: 'written'; record: ReplicatedRecord }
  | { kind: 'conflict'; current: ReplicatedRecord | undefined }
  | { kind: 'refused'; reason: string }
  | { kind: 'unresolved'; reason: string };

/** A value with the id of the change that wrote it. After a lost answer, the id shows whose write took effect. */
export interface WithChangeId {
  changeId: string;
}

/** A write whose outcome is not known yet. */
interface PendingWrite {
  key: string;
  expectedRevision: number;
  send: () => Promise<WriteOutcome>;
  record: (revision: number) => ReplicatedRecord;
  isOurs: (current: ReplicatedRecord | undefined) => boolean;
}

const READ_BACK_ATTEMPTS = 4;
const READ_BACK_PAUSE_MILLISECONDS = 150;

/** Writes objects to the object API and applies the results to the replica. */
export class ConditionalWriter {
  private readonly _api: ObjectApi;
  private readonly _replica: Replica;

  constructor(api: ObjectApi, replica: Replica) {
    this._api = api;
    this._replica = replica;
  }

  /** Writes `value` if the object has revision `expectedRevision`; 0 means that it must not exist. */
  async put(key: string, value: WithChangeId, expectedRevision: number): Promise<ConditionalWriteOutcome> {
    return await this._writeUntilKnown({
      key,
      expectedRevision,
      send: () => this._api.put(key, value, expectedRevision),
      record: (revision) => ({ key, revision, value, deleted: false }),
      isOurs: (current) => changeIdOf(current?.value) === value.changeId,
    });
  }

  /** Deletes the object if it has revision `expectedRevision`. */
  async delete(key: string, expectedRevision: number): Promise<ConditionalWriteOutcome> {
    return await this._writeUntilKnown({
      key,
      expectedRevision,
      send: () => this._api.delete(key, expectedRevision),
      record: (revision) => ({ key, revision, value: null, deleted: true }),
      isOurs: (current) => current === undefined,
    });
  }

  /** Sends a write. While its outcome is unknown, reads the object back and sends the write again, a few times. */
  private async _writeUntilKnown(write: PendingWrite): Promise<ConditionalWriteOutcome> {
    let outcome = await write.send();
    if (outcome.kind === 'refused') return { kind: 'refused', reason: outcome.reason };
    for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt++) {
      if (outcome.kind === 'written') return this._written(write.record(outcome.revision));
      const current = await this._read(write.key);
      if (current === 'unreadable') {
        await pause(READ_BACK_PAUSE_MILLISECONDS * 2 ** attempt);
        continue;
      }
      if (current) this._replica.apply(current, 'api');
      if (write.isOurs(current))
        return { kind: 'written', record: current ?? this._recordDeletion(write.key) };
      if ((current?.revision ?? 0) !== write.expectedRevision) return { kind: 'conflict', current };
      // The object is unchanged. The first write may still arrive, but both expect the same revision, so at most one
      // of them can take effect.
      outcome = await write.send();
    }
    return { kind: 'unresolved', reason: 'no answer to the write, and none to reading it back' };
  }

  private _written(record: ReplicatedRecord): ConditionalWriteOutcome {
    this._replica.apply(record, 'self');
    return { kind: 'written', record };
  }

  /**
   * Records a deletion whose revision is unknown under the revision after the last known one of the object. The watch
   * delivers the real revision later.
   */
  private _recordDeletion(key: string): ReplicatedRecord {
    const revision = (this._replica.record(key)?.revision ?? 0) + 1;
    const record = { key, revision, value: null, deleted: true };
    this._replica.apply(record, 'self');
    return record;
  }

  private async _read(key: string): Promise<ReplicatedRecord | undefined | 'unreadable'> {
    try {
      const object = await this._api.get(key);
      return object ? { ...object, deleted: false } : undefined;
    } catch {
      return 'unreadable';
    }
  }
}

function changeIdOf(value: unknown): string | undefined {
  return (value as WithChangeId | undefined)?.changeId;
}
