/** Keeps a copy of all objects of one kind: lists once, then watches, and lists again after any trouble. */
import { EventEmitter } from 'node:events';
import type { EventLog } from '../telemetry/eventLog.js';
import { Backoff } from '../utils/backoff.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import type { KindChanges, KindListing, StoredObject, WatchableStore } from './watchableStore.js';

/** What a follower works with. */
export interface KindFollowerOptions {
  kind: string;
  store: WatchableStore;
  clock: Clock;
  random: Random;
  log: EventLog;
  /** How long changes are gathered after one, so that many of them cost one call. */
  gatherMilliseconds: number;
}

interface KindFollowerEvents {
  /** The copy has changed. */
  change: [];
}

const WATCH_WAIT_MILLISECONDS = 20_000;
const RETRY = { firstMilliseconds: 80, longestMilliseconds: 600 };
/** Emits `change` after each listing or change. Nothing is dropped while the store cannot be reached. */
export class KindFollower extends EventEmitter<KindFollowerEvents> {
  readonly objects = new Map<string, StoredObject>();
  private readonly _options: KindFollowerOptions;
  private readonly _stopped = new AbortController();
  private _asking = new AbortController();
  private _revision: number | undefined;
  private _reachable = false;
  private _lost = false;
  private _unreachableSince = 0;
  private _regainedAt = Number.NEGATIVE_INFINITY;

  constructor(options: KindFollowerOptions) {
    super();
    this._options = options;
  }

  /** Whether the last call to the store was answered; a watch that waits counts as answered. */
  get reachable(): boolean {
    return this._reachable;
  }

  /** Milliseconds since the store became unreachable; 0 while it is reachable. */
  get unreachableFor(): number {
    return this._reachable ? 0 : this._options.clock.now() - this._unreachableSince;
  }

  /** Milliseconds since the store became reachable again; infinite when it never was lost. */
  get regainedFor(): number {
    return this._options.clock.now() - this._regainedAt;
  }

  /** Revision of the store that the copy reflects. */
  get revision(): number {
    return this._revision ?? 0;
  }

  start(): void {
    this._unreachableSince = this._options.clock.now();
    void this._follow();
  }

  stop(): void {
    this._stopped.abort();
    this._asking.abort();
  }

  /** Lists anew at once: the call under way may never be answered. */
  refresh(): void {
    this._revision = undefined;
    this._asking.abort();
  }

  private async _follow(): Promise<void> {
    const { random, gatherMilliseconds } = this._options;
    const backoff = new Backoff(RETRY, random);
    while (!this._stopped.signal.aborted) {
      try {
        const answer = await this._ask();
        this._onAnswer();
        this._take(answer);
        backoff.reset();
        if (!('objects' in answer)) await pause(gatherMilliseconds, this._stopped.signal);
      } catch (error) {
        if (this._asking.signal.aborted) continue;
        this._onSilence(errorText(error));
        await pause(backoff.nextWait(), this._stopped.signal);
      }
    }
  }

  private async _ask(): Promise<KindListing | KindChanges> {
    const { kind, store } = this._options;
    this._asking = new AbortController();
    const { signal } = this._asking;
    if (this._revision === undefined) return await store.list(kind, signal);
    return await store.watch(kind, this._revision, WATCH_WAIT_MILLISECONDS, signal);
  }

  private _take(answer: KindListing | KindChanges): void {
    if ('objects' in answer) this._takeListing(answer);
    else if (answer.kind === 'changes') this._takeChanges(answer);
    else {
      this._revision = undefined;
      this._options.log.state('store.history-lost', { kind: this._options.kind });
    }
  }

  private _takeChanges({ changes, revision }: Extract<KindChanges, { kind: 'changes' }>): void {
    for (const { object, gone } of changes) {
      if (gone) this.objects.delete(object.name);
      else this.objects.set(object.name, object);
    }
    this._revision = revision;
    if (changes.length > 0) this.emit('change');
  }

  private _takeListing(listing: KindListing): void {
    this.objects.clear();
    for (const object of listing.objects) this.objects.set(object.name, object);
    this._revision = listing.revision;
    this.emit('change');
  }

  private _onAnswer(): void {
    if (this._reachable) return;
    this._reachable = true;
    if (this._lost) this._regainedAt = this._options.clock.now();
    this._options.log.state('store.reachable', { kind: this._options.kind, revision: this.revision });
  }

  private _onSilence(reason: string): void {
    this._revision = undefined;
    if (this._stopped.signal.aborted || !this._reachable) return;
    this._reachable = false;
    this._lost = true;
    this._unreachableSince = this._options.clock.now();
    this._options.log.state('store.unreachable', { kind: this._options.kind, reason });
  }
}
