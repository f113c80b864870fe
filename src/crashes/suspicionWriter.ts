/** Writes changes of suspicions into the store: none is lost by the write of another entry, or by a store that is silent. */
import { isDeepStrictEqual } from 'node:util';
import type { WritableStore, WriteAnswer } from '../records/writableStore.js';
import type { EventLog } from '../telemetry/eventLog.js';
import { Backoff } from '../utils/backoff.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import { StepError, errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import type { StoredObject } from '../records/watchableStore.js';
import type { Suspicion } from './suspicion.js';
import { restoreKnown } from './suspicion.js';
import type { SuspicionCopies } from './suspicionCopies.js';

/** What becomes of a suspicion; undefined stands for none. Made anew on what another entry has written meanwhile. */
export type SuspicionChange = (suspicion: Suspicion | undefined) => Suspicion | undefined;

/** What a writer works with. */
export interface SuspicionWriterOptions {
  kind: string;
  store: WritableStore;
  copies: SuspicionCopies;
  clock: Clock;
  random: Random;
  log: EventLog;
}

interface PendingChange {
  apply: SuspicionChange;
  /** Monotonic milliseconds. */
  since: number;
  done: () => void;
}

/** Writes under way at once: more would keep the store's other calls of this process waiting while it is silent. */
const MAX_CONCURRENT_WRITES = 8;
const RETRY = { firstMilliseconds: 40, longestMilliseconds: 500 };
/** A store that is silent for longer than this finds what it lacks in the suspicions that come next. */
const GIVE_UP_MILLISECONDS = 30_000;

export class SuspicionWriter {
  private readonly _options: SuspicionWriterOptions;
  private readonly _pending = new Map<string, PendingChange[]>();
  /** Those of the pending that are being written. */
  private readonly _writing = new Set<string>();
  /** Revisions of conflicting objects that were older than the copy, by fingerprint. */
  private readonly _olderConflicts = new Map<string, number>();
  private readonly _stopped = new AbortController();
  private readonly _waiting: (() => void)[] = [];
  private _writes = 0;

  constructor(options: SuspicionWriterOptions) {
    this._options = options;
    options.copies.on('change', (fingerprint) => this._dropIfStored(fingerprint));
  }

  /** Suspicions that wait to be written. */
  get pending(): number {
    return this._pending.size;
  }

  /** The suspicion as it is once all is written that waits. */
  get(fingerprint: string): Suspicion | undefined {
    const { suspicion } = this._options.copies.get(fingerprint);
    return applyAll(suspicion, this._pending.get(fingerprint) ?? []);
  }

  /** Whether the store has a suspicion, or is about to get one. */
  isStored(fingerprint: string): boolean {
    return this._writing.has(fingerprint) || this._options.copies.get(fingerprint).revision > 0;
  }

  /** Notes a change that is written with the next one, or never if that undoes it. */
  queue(fingerprint: string, apply: SuspicionChange): void {
    this._add(fingerprint, apply, () => undefined);
    const isUndone = !this.isStored(fingerprint) && this.get(fingerprint) === undefined;
    if (isUndone) this._pending.delete(fingerprint);
  }

  /** Writes what has been proposed, unless the store has it by now. */
  async flush(fingerprint: string): Promise<void> {
    if (this._pending.has(fingerprint)) await this.write(fingerprint, (suspicion) => suspicion);
  }

  /** Resolves when the change, and all that was proposed before, has been written, or given up. */
  async write(fingerprint: string, apply: SuspicionChange): Promise<void> {
    await new Promise<void>((done) => {
      this._add(fingerprint, apply, done);
      if (this._writing.has(fingerprint)) return;
      this._writing.add(fingerprint);
      // what is decided in the same turn goes into the same write
      setImmediate(() => void this._writeAll(fingerprint));
    });
  }

  stop(): void {
    this._stopped.abort();
  }

  private _add(fingerprint: string, apply: SuspicionChange, done: () => void): void {
    const pending = this._pending.get(fingerprint) ?? [];
    pending.push({ apply, since: this._options.clock.now(), done });
    this._pending.set(fingerprint, pending);
  }

  /** Adds a change before those that are pending. */
  private _addFirst(fingerprint: string, apply: SuspicionChange): void {
    const since = this._options.clock.now();
    this._pending.get(fingerprint)?.unshift({ apply, since, done: () => undefined });
  }

  /** Drops changes that another entry has written meanwhile. */
  private _dropIfStored(fingerprint: string): void {
    const pending = this._pending.get(fingerprint);
    if (!pending || this._writing.has(fingerprint)) return;
    const { suspicion } = this._options.copies.get(fingerprint);
    if (isDeepStrictEqual(applyAll(suspicion, pending), suspicion)) this._pending.delete(fingerprint);
  }

  private async _writeAll(fingerprint: string): Promise<void> {
    const { clock, random, log } = this._options;
    const backoff = new Backoff(RETRY, random);
    for (let pending = this._pending.get(fingerprint)!; pending.length > 0;) {
      try {
        this._resolveFirst(pending, await this._writeOnce(fingerprint, [...pending]));
      } catch (error) {
        const age = Math.round(clock.now() - pending[0].since);
        const givenUp = age > GIVE_UP_MILLISECONDS || this._stopped.signal.aborted;
        log.state('suspicion.not-written', { fingerprint, reason: errorText(error), age, givenUp });
        if (givenUp) this._resolveFirst(pending, pending.length);
        else await pause(backoff.nextWait(), this._stopped.signal);
      }
    }
    this._pending.delete(fingerprint);
    this._writing.delete(fingerprint);
    this._olderConflicts.delete(fingerprint);
  }

  /** Writes what the changes come to; returns how many of them are done, none when another entry has written. */
  private async _writeOnce(fingerprint: string, changes: readonly PendingChange[]): Promise<number> {
    const { copies } = this._options;
    const { suspicion, revision } = copies.get(fingerprint);
    const next = applyAll(suspicion, changes);
    if (isDeepStrictEqual(next, suspicion)) return changes.length;
    const answer = await this._call(fingerprint, suspicion ? revision : 0, next);
    if (answer.kind === 'done') {
      copies.update(fingerprint, answer.revision, next);
      return changes.length;
    }
    if (!copies.updateFromObject(fingerprint, answer.object))
      this._onOlderConflict(fingerprint, answer.object);
    return 0;
  }

  /**
   * A conflict with an object that is older than the copy: the copy may have been updated meanwhile. The same object again means that the
   * store was rolled back without saying so.
   */
  private _onOlderConflict(fingerprint: string, object: StoredObject | undefined): void {
    const { copies } = this._options;
    const copy = copies.get(fingerprint).suspicion;
    const isRepeated = object !== undefined && this._olderConflicts.get(fingerprint) === object.revision;
    if (!isRepeated) {
      if (object) this._olderConflicts.set(fingerprint, object.revision);
      throw new StepError('suspicion.write', 'a conflict with an object that is older than the copy');
    }
    this._olderConflicts.delete(fingerprint);
    copies.replace(fingerprint, object);
    if (copy) this._addFirst(fingerprint, (suspicion) => restoreKnown(suspicion, copy));
  }

  private async _call(name: string, revision: number, next: Suspicion | undefined): Promise<WriteAnswer> {
    const { store, kind } = this._options;
    while (this._writes >= MAX_CONCURRENT_WRITES)
      await new Promise<void>((resume) => this._waiting.push(resume));
    this._writes++;
    try {
      const object = { kind, name, revision };
      return next ? await store.put(object, next) : await store.remove(object);
    } finally {
      this._writes--;
      this._waiting.shift()?.();
    }
  }

  private _resolveFirst(pending: PendingChange[], count: number): void {
    for (const { done } of pending.splice(0, count)) done();
  }
}

function applyAll(
  suspicion: Suspicion | undefined,
  changes: readonly PendingChange[],
): Suspicion | undefined {
  return changes.reduce<Suspicion | undefined>((current, { apply }) => apply(current), suspicion);
}
