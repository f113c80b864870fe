/** Accepts operators' changes: checked, written once, and held by another data centre before the yes. */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { ReplicatedRecord } from '../protocol/records.js';
import type { FieldProblem } from './resolveSpecification.js';
import type { Replica } from './replica.js';
import type { ConditionalWriteOutcome, ConditionalWriter } from './conditionalWriter.js';

/** A change as an operator asks for it. */
export interface ChangeRequest {
  key: string;
  /** What to store; undefined deletes. */
  value: object | undefined;
  /** The revision that the operator has seen; undefined to take the present one, 0 for "must not exist". */
  expectedRevision: number | undefined;
  /** Names the change; sending it again with the same name changes nothing more. */
  changeId: string;
}

/** An accepted change. */
export interface AcceptedChange {
  record: ReplicatedRecord;
}

/** Why a change was not accepted. */
export type ChangeRefusal =
  | { kind: 'invalid'; problems: FieldProblem[] }
  | { kind: 'not-found' }
  /** Somebody else was first. */
  | { kind: 'conflict'; currentRevision: number }
  /** Nothing was changed; try later. */
  | { kind: 'unavailable'; reason: string }
  /** It may have been changed: send the same change again. */
  | { kind: 'unresolved'; reason: string };

/** Hands a record to other entries and tells how many in other data centres confirmed it. */
export interface Confirmer {
  /** Resolves true once enough entries hold the record that the loss of one cannot keep it from the rest. */
  confirm(record: ReplicatedRecord): Promise<boolean>;
}

/** Writes changes and waits until they are safe. */
export class ChangeHandler {
  private readonly _replica: Replica;
  private readonly _writer: ConditionalWriter;
  private readonly _confirmer: Confirmer;

  constructor(replica: Replica, writer: ConditionalWriter, confirmer: Confirmer) {
    this._replica = replica;
    this._writer = writer;
    this._confirmer = confirmer;
  }

  /** Carries out a change that has been checked. */
  async change(request: ChangeRequest): Promise<Result<AcceptedChange, ChangeRefusal>> {
    const known = this._replica.record(request.key);
    if (this._wasMadeBefore(known, request)) return await this._confirmed(known!);
    if (request.value === undefined && known?.deleted) return await this._confirmed(known);
    if (request.value === undefined && !known) return err({ kind: 'not-found' });
    const expected = request.expectedRevision ?? this._replica.liveRevision(request.key);
    const outcome = await this._write(request, expected);
    return outcome.kind === 'written' ? await this._confirmed(outcome.record) : err(refusalOf(outcome));
  }

  private async _write(request: ChangeRequest, expected: number): Promise<ConditionalWriteOutcome> {
    if (request.value === undefined) return await this._writer.delete(request.key, expected);
    return await this._writer.put(request.key, { ...request.value, changeId: request.changeId }, expected);
  }

  private _wasMadeBefore(known: ReplicatedRecord | undefined, request: ChangeRequest): boolean {
    if (!known || known.deleted || request.value === undefined) return false;
    return (known.value as { changeId?: string }).changeId === request.changeId;
  }

  private async _confirmed(record: ReplicatedRecord): Promise<Result<AcceptedChange, ChangeRefusal>> {
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
