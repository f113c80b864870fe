/**
 * Writes changes of suspicions to the store. No change is lost when another entry writes at the same time, or when
 * the store does not answer for a while.
 */
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

/**
 * Computes the next state of a suspicion, undefined if there is none. It is called again when another entry has
 * written in the meantime.
 */
export type SuspicionChange = (suspicion: Suspicion | undefined) => Suspicion | undefined;

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
  /** When the change was queued, in monotonic milliseconds. */
  since: number;
  done: () => void;
}

/** With more, the other store calls of this process would have to wait while the store does not answer. */
const MAX_CONCURRENT_WRITES = 8;
const RETRY = { firstMilliseconds: 40, longestMilliseconds: 500 };
/**
 * Age at which a change is given up. If the store is unavailable for longer, a request that goes on crashing servers
 * becomes suspected again.
 */
const GIVE_UP_MILLISECONDS = 30_000;

export class SuspicionWriter {
  private readonly _options: SuspicionWriterOptions;
  private readonly _pending = new Map<string, PendingChange[]>();
  /** Fingerprints whose pending changes are being written. */
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

  /** Number of suspicions with pending changes. */
  get pending(): number {
    return this._pending.size;
  }

  /** The suspicion with all pending changes applied. */
  get(fingerprint: string): Suspicion | undefined {
    const { suspicion } = this._options.copies.get(fingerprint);
    return applyAll(suspicion, this._pending.get(fingerprint) ?? []);
  }

  /** Whether the store has a suspicion, or a write of it has begun. */
  isStored(fingerprint: string): boolean {
    return this._writing.has(fingerprint) || this._options.copies.get(fingerprint).revision > 0;
  }

  /** Queues a change until the next call of `write` or `flush`. A later change may undo it before it is written. */
  queue(fingerprint: string, apply: SuspicionChange): void {
    this._add(fingerprint, apply, () => undefined);
    const isUndone = !this.isStored(fingerprint) && this.get(fingerprint) === undefined;
    if (isUndone) this._pending.delete(fingerprint);
  }

  /** Writes the queued changes, unless the store has them by now. */
  async flush(fingerprint: string): Promise<void> {
    if (this._pending.has(fingerprint)) await this.write(fingerprint, (suspicion) => suspicion);
  }

  /** Writes a change together with all queued ones. Resolves when they are written or given up. */
  async write(fingerprint: string, apply: SuspicionChange): Promise<void> {
    await new Promise<void>((done) => {
      this._add(fingerprint, apply, done);
      if (this._writing.has(fingerprint)) return;
      this._writing.add(fingerprint);
      // Changes of the same event loop turn share one write.
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

  /** Drops queued changes that another entry has written in the meantime. */
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

  /**
   * Writes the result of the changes. Returns how many of them are done, which is none if another entry has written
   * first.
   */
  private async _writeOnce(fingerprint: string, changes: readonly PendingChange[]): Promise<number> {
    const { copies } = this._options;
    const { suspicion, revision } = copies.get(fingerprint);
    const next = applyAll(suspicion, changes);
    if (isDeepStrictEqual(next, suspicion)) return changes.length;
    const answer = await this._sendWrite(fingerprint, suspicion ? revision : 0, next);
    if (answer.kind === 'done') {
      copies.update(fingerprint, answer.revision, next);
      return changes.length;
    }
    if (!copies.updateFromObject(fingerprint, answer.object))
      this._onOlderConflict(fingerprint, answer.object);
    return 0;
  }

  /**
   * Handles a conflict with an object that is older than the copy. The first time, the copy may have been updated
   * while the write was under way, so that the write is retried. The same object again means that the store was
   * rolled back without a new generation.
   */
  private _onOlderConflict(fingerprint: string, object: StoredObject | undefined): void {
    const { copies } = this._options;
    const copy = copies.get(fingerprint).suspicion;
    const isRepeated = object !== undefined && this._olderConflicts.get(fingerprint) === object.revision;
    if (!isRepeated) {
      if (object) this._olderConflicts.set(fingerprint, object.revision);
      throw new StepError('suspicion.write', 'conflict with an object that is older than the local copy');
    }
    this._olderConflicts.delete(fingerprint);
    copies.replace(fingerprint, object);
    if (copy) this._addFirst(fingerprint, (suspicion) => restoreKnown(suspicion, copy));
  }

  private async _sendWrite(
    name: string,
    revision: number,
    next: Suspicion | undefined,
  ): Promise<WriteAnswer> {
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
