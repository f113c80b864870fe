/**
 * Applies operators' changes. A change is accepted once it is written and another entry has confirmed it, one in
 * another data centre if there are any.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { ReplicatedRecord } from '../protocol/replicationMessages.js';
import type { FieldProblem } from './resolveSpecification.js';
import type { Replica } from './replica.js';
import type { ConditionalWriteOutcome, ConditionalWriter } from './conditionalWriter.js';

/** A change requested by an operator. */
export interface ChangeRequest {
  key: string;
  /** The new value; undefined to delete the object. */
  value: object | undefined;
  /** The revision that the change must replace; undefined for the current one, 0 if the object must not exist. */
  expectedRevision: number | undefined;
  /** Identifies the change: a request that is repeated with the same id is applied only once. */
  changeId: string;
}

/** An accepted change. */
export interface AcceptedChange {
  record: ReplicatedRecord;
}

/** Reasons for which a change is not accepted. */
export type ChangeRefusal =
  | { kind: 'invalid'; problems: FieldProblem[] }
  | { kind: 'not-found' }
  /** The object has a different revision than expected. */
  | { kind: 'conflict'; currentRevision: number }
  /** The change was not written; the operator can try again later. */
  | { kind: 'unavailable'; reason: string }
  /** The change may have been written; the operator should repeat it with the same change id. */
  | { kind: 'unresolved'; reason: string };

/** Sends a record to other entries and waits until they confirm that they have it. */
export interface Confirmer {
  /** Resolves to true once enough entries have the record that the loss of one entry cannot lose it. */
  confirm(record: ReplicatedRecord): Promise<boolean>;
}

/** Writes changes and waits until other entries have confirmed them. */
export class ChangeHandler {
  private readonly _replica: Replica;
  private readonly _writer: ConditionalWriter;
  private readonly _confirmer: Confirmer;

  constructor(replica: Replica, writer: ConditionalWriter, confirmer: Confirmer) {
    this._replica = replica;
    this._writer = writer;
    this._confirmer = confirmer;
  }

  /** Applies a change whose value has already been validated. */
  async change(request: ChangeRequest): Promise<Result<AcceptedChange, ChangeRefusal>> {
    const known = this._replica.record(request.key);
    if (this._isRepeated(known, request)) return await this._acceptWhenConfirmed(known!);
    if (request.value === undefined && known?.deleted) return await this._acceptWhenConfirmed(known);
    if (request.value === undefined && !known) return err({ kind: 'not-found' });
    const expected = request.expectedRevision ?? this._replica.liveRevision(request.key);
    const outcome = await this._write(request, expected);
    return outcome.kind === 'written'
      ? await this._acceptWhenConfirmed(outcome.record)
      : err(refusalOf(outcome));
  }

  private async _write(request: ChangeRequest, expected: number): Promise<ConditionalWriteOutcome> {
    if (request.value === undefined) return await this._writer.delete(request.key, expected);
    return await this._writer.put(request.key, { ...request.value, changeId: request.changeId }, expected);
  }

  private _isRepeated(known: ReplicatedRecord | undefined, request: ChangeRequest): boolean {
    if (!known || known.deleted || request.value === undefined) return false;
    return (known.value as { changeId?: string }).changeId === request.changeId;
  }

  private async _acceptWhenConfirmed(
    record: ReplicatedRecord,
  ): Promise<Result<AcceptedChange, ChangeRefusal>> {
    if (await this._confirmer.confirm(record)) return ok({ record });
    return err({
      kind: 'unresolved',
      reason: 'written, but no entry of another data centre has confirmed it',
    });
  }
}

function refusalOf(outcome: Exclude<ConditionalWriteOutcome, { kind: 'written' }>): ChangeRefusal {
  if (outcome.kind === 'conflict')
    return { kind: 'conflict', currentRevision: outcome.current?.revision ?? 0 };
  if (outcome.kind === 'refused') return { kind: 'unavailable', reason: outcome.reason };
  return { kind: 'unresolved', reason: outcome.reason };
}
