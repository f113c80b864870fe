/**
 * Keeps a copy of all objects of one kind up to date: lists the store once, then watches it, and lists again after a
 * failure.
 */
import type { EventLog } from '../telemetry/eventLog.js';
import { Backoff } from '../utils/backoff.js';
import type { Random } from '../utils/random.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import type { RecordReplica } from './recordReplica.js';
import { revisionFields } from './storeRevision.js';
import type { KindChanges, KindListing, WatchableStore } from './watchableStore.js';

export interface KindFollowerOptions {
  replica: RecordReplica;
  store: WatchableStore;
  random: Random;
  log: EventLog;
  /** Delay before the next watch after an urgent change, so that one call returns all changes of that time. */
  urgentBatchMilliseconds: number;
  /** The same after changes that are not urgent. */
  minorBatchMilliseconds: number;
}

const WATCH_WAIT_MILLISECONDS = 20_000;
const RETRY = { firstMilliseconds: 80, longestMilliseconds: 600 };

/** The copy is kept while the store cannot be reached. */
export class KindFollower {
  private readonly _options: KindFollowerOptions;
  private _stopped = new AbortController();
  private _request = new AbortController();
  /** Revision from which to watch; undefined when the kind has to be listed. */
  private _revision: number | undefined;
  private _reachable = false;

  constructor(options: KindFollowerOptions) {
    this._options = options;
    this._stopped.abort();
  }

  /** Whether the last call to the store succeeded. A pending watch does not change this. */
  get reachable(): boolean {
    return this._reachable;
  }

  /**
   * Starts with a listing: a watch from the revision of the copy may hang if the store no longer has that revision.
   */
  start(): void {
    if (!this._stopped.signal.aborted) return;
    this._revision = undefined;
    this._stopped = new AbortController();
    void this._follow(this._stopped.signal);
  }

  /** Stops; {@link KindFollower.start} may start it again. */
  stop(): void {
    this._stopped.abort();
    this._request.abort();
    this._reachable = false;
  }

  /**
   * Aborts the pending call, which may never be answered, and lists at once. Until the listing arrives, the copy
   * counts as unconfirmed.
   */
  refresh(): void {
    this._revision = undefined;
    this._reachable = false;
    this._request.abort();
  }

  private async _follow(stopped: AbortSignal): Promise<void> {
    const backoff = new Backoff(RETRY, this._options.random);
    while (!stopped.aborted) {
      const request = new AbortController();
      this._request = request;
      try {
        const answer = await this._listOrWatch(request.signal);
        if (stopped.aborted) return;
        this._onAnswer();
        backoff.reset();
        await pause(this._applyAnswer(answer), stopped);
      } catch (error) {
        if (stopped.aborted || request.signal.aborted) continue;
        this._onFailure(errorText(error));
        await pause(backoff.nextWait(), stopped);
      }
    }
  }

  private async _listOrWatch(signal: AbortSignal): Promise<KindListing | KindChanges> {
    const { replica, store } = this._options;
    if (this._revision === undefined) return await store.list(replica.kind, signal);
    return await store.watch(replica.kind, this._revision, WATCH_WAIT_MILLISECONDS, signal);
  }

  /** Applies an answer; returns the delay before the next watch, in milliseconds. */
  private _applyAnswer(answer: KindListing | KindChanges): number {
    const { replica, log, urgentBatchMilliseconds, minorBatchMilliseconds } = this._options;
    if ('objects' in answer) {
      this._logOlderListing(answer.revision);
      replica.applyListing(answer);
      this._revision = answer.revision;
      return 0;
    }
    if (answer.kind === 'history-lost') {
      this._revision = undefined;
      log.state('store.history-lost', { kind: replica.kind });
      return 0;
    }
    this._revision = answer.revision;
    const urgency = replica.applyChanges(answer.revision, answer.changes);
    return urgency === 'urgent' ? urgentBatchMilliseconds : minorBatchMilliseconds;
  }

  /** Logs a listing that is older than the replica, which ignores it. */
  private _logOlderListing(revision: number): void {
    const { replica, log } = this._options;
    if (revision >= replica.revision) return;
    const held = revisionFields(replica.revision);
    log.state('store.listing-older', {
      kind: replica.kind,
      ...revisionFields(revision),
      heldGeneration: held.generation,
      heldRevision: held.revision,
    });
  }

  private _onAnswer(): void {
    if (this._reachable) return;
    this._reachable = true;
    const { replica, log } = this._options;
    log.state('store.reachable', { kind: replica.kind, ...revisionFields(replica.revision) });
  }

  private _onFailure(reason: string): void {
    this._revision = undefined;
    if (!this._reachable) return;
    this._reachable = false;
    this._options.log.state('store.unreachable', { kind: this._options.replica.kind, reason });
  }
}
