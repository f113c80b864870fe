/** Conditional writes whose outcome is always known, or said to be unknown. */
import type { ObjectApi, WriteOutcome } from '../external/objectApi.js';
import type { ReplicatedRecord } from '../protocol/records.js';
import { pause } from '../utils/timers.js';
import type { Replica } from './replica.js';

/** What came of a write. `unresolved`: the API could not be asked whether it took effect. */
export type ConditionalWriteOutcome =
  | { kind: 'written'; record: ReplicatedRecord }
  | { kind: 'conflict'; current: ReplicatedRecord | undefined }
  | { kind: 'refused'; reason: string }
  | { kind: 'unresolved'; reason: string };

/** A value that names the change that made it, so that a lost answer can be resolved by reading it back. */
export interface WithChangeId {
  changeId: string;
}

/** A write until its outcome is known. */
interface PendingWrite {
  key: string;
  expectedRevision: number;
  send: () => Promise<WriteOutcome>;
  record: (revision: number) => ReplicatedRecord;
  isOurs: (current: ReplicatedRecord | undefined) => boolean;
}

const READ_BACK_TRIES = 4;
const READ_BACK_PAUSE_MILLISECONDS = 150;

/** Writes objects and brings what it learns into the replica. */
export class ConditionalWriter {
  private readonly _api: ObjectApi;
  private readonly _replica: Replica;

  constructor(api: ObjectApi, replica: Replica) {
    this._api = api;
    this._replica = replica;
  }

  /** Writes `value` over revision `expectedRevision`; 0 means that the object must not exist. */
  async put(key: string, value: WithChangeId, expectedRevision: number): Promise<ConditionalWriteOutcome> {
    return await this._settle({
      key,
      expectedRevision,
      send: () => this._api.put(key, value, expectedRevision),
      record: (revision) => ({ key, revision, value, deleted: false }),
      isOurs: (current) => changeIdOf(current?.value) === value.changeId,
    });
  }

  /** Deletes the object at revision `expectedRevision`. */
  async delete(key: string, expectedRevision: number): Promise<ConditionalWriteOutcome> {
    return await this._settle({
      key,
      expectedRevision,
      send: () => this._api.delete(key, expectedRevision),
      record: (revision) => ({ key, revision, value: null, deleted: true }),
      isOurs: (current) => current === undefined,
    });
  }

  /** Sends a write; when its outcome is unknown, reads back and sends it again until it is known. */
  private async _settle(write: PendingWrite): Promise<ConditionalWriteOutcome> {
    let outcome = await write.send();
    if (outcome.kind === 'refused') return { kind: 'refused', reason: outcome.reason };
    for (let attempt = 0; attempt < READ_BACK_TRIES; attempt++) {
      if (outcome.kind === 'written') return this._written(write.record(outcome.revision));
      const current = await this._read(write.key);
      if (current === 'unreadable') {
        await pause(READ_BACK_PAUSE_MILLISECONDS * 2 ** attempt);
        continue;
      }
      if (current) this._replica.apply(current, 'api');
      if (write.isOurs(current)) return { kind: 'written', record: current ?? this._deletion(write.key) };
      if ((current?.revision ?? 0) !== write.expectedRevision) return { kind: 'conflict', current };
      // unchanged: the write may still be on its way, and at most one of the two can take effect
      outcome = await write.send();
    }
    return { kind: 'unresolved', reason: 'no answer to the write, and none to reading it back' };
  }

  private _written(record: ReplicatedRecord): ConditionalWriteOutcome {
    this._replica.apply(record, 'self');
    return { kind: 'written', record };
  }

  /** The watch will bring the deletion's own revision; until then it ranks just above what it deleted. */
  private _deletion(key: string): ReplicatedRecord {
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
