/** Keeps a copy of all objects of one kind by the store: lists once, then watches, and lists again after any trouble. */
import type { EventLog } from '../telemetry/eventLog.js';
import { Backoff } from '../utils/backoff.js';
import type { Random } from '../utils/random.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import type { RecordReplica } from './recordReplica.js';
import { revisionFields } from './storeRevision.js';
import type { KindChanges, KindListing, WatchableStore } from './watchableStore.js';

/** What a follower works with. */
export interface KindFollowerOptions {
  replica: RecordReplica;
  store: WatchableStore;
  random: Random;
  log: EventLog;
  /** How long changes are gathered after an urgent one, so that many of them cost one call. */
  urgentBatchMilliseconds: number;
  /** The same after changes that are not urgent. */
  minorBatchMilliseconds: number;
}

const WATCH_WAIT_MILLISECONDS = 20_000;
const RETRY = { firstMilliseconds: 80, longestMilliseconds: 600 };

/** Nothing is dropped while the store cannot be reached. */
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

  /** Whether the last call to the store was answered; a watch that waits counts as answered. */
  get reachable(): boolean {
    return this._reachable;
  }

  /** Begins to follow, with a listing: a watch from the revision of the copy may hang if the store has forgotten it. */
  start(): void {
    if (!this._stopped.signal.aborted) return;
    this._revision = undefined;
    this._stopped = new AbortController();
    void this._follow(this._stopped.signal);
  }

  /** Ends; {@link KindFollower.start} may follow. */
  stop(): void {
    this._stopped.abort();
    this._request.abort();
    this._reachable = false;
  }

  /** Lists anew at once: the call under way may never be answered. Until then the copy counts as not confirmed. */
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

  /** Takes an answer; returns how long to gather what follows, in milliseconds. */
  private _applyAnswer(answer: KindListing | KindChanges): number {
    const {
      replica,
      log,
      urgentBatchMilliseconds: gatherMilliseconds,
      minorBatchMilliseconds: gatherMinorMilliseconds,
    } = this._options;
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
    const weight = replica.applyChanges(answer.revision, answer.changes);
    return weight === 'urgent' ? gatherMilliseconds : gatherMinorMilliseconds;
  }

  /** The replica passes over a listing that is older than it. */
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
