/** Tracks the limit, warm-up, shutdown and Retry-After signals of one incarnation of a backend server. */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { AnswerSignals } from './answerSignals.js';
import type { ColdSource, ColdTerms } from './coldLimit.js';
import { ColdLimit } from './coldLimit.js';
import type { LimitShare } from './limitShare.js';
import { millisecondsUntilProbe } from './probeSlot.js';
import { TokenBucket } from './tokenBucket.js';
import { ServerLimit } from './serverLimit.js';

/** How often the other entries are notified that a limit still applies. */
const CONFIRM_INTERVAL_MILLISECONDS = 10_000;
/**
 * After this long without a notice of a limit, an entry without a share of it may probe the server, because either no
 * entry sends to the server, or those that do cannot notify the others.
 */
const STALE_NOTICE_MILLISECONDS = 15_000;

export interface BackpressureOptions {
  /** Id of the server. */
  server: string;
  clock: Clock;
  log: EventLog;
  /** Returns this entry's share of the requests per second that the server accepts from all entries. */
  share: (perSecond: number) => LimitShare;
  /** Position of this entry in the probe schedule, from 0 to 1 (exclusive). */
  phase: number;
  /** The limit that applies while the server is cold; by default there is none. */
  cold?: ColdTerms;
  /** Called when an answer to this entry changes the shared state, or confirms a limit after a while. */
  onChange: () => void;
}

/** The state of a server that applies to all entries and is shared between them. */
export interface SharedBackpressure {
  limitPerSecond: number | undefined;
  leaving: boolean;
  /** Monotonic milliseconds of the answer that carried it; -Infinity if there was none. */
  heardAt: number;
  /** Milliseconds for which the server remains cold; 0 when it is warm. */
  coldMilliseconds: number;
}

/** Where a signal came from: an answer to this entry, or another entry. */
type SignalSource = 'answer' | 'entry';

const NEVER_COLD: ColdTerms = { perSecond: () => 0, share: () => undefined };

export class ServerBackpressure {
  /** Id of the server. */
  readonly server: string;
  private readonly _clock: Clock;
  private readonly _log: EventLog;
  private readonly _share: (perSecond: number) => LimitShare;
  private readonly _phase: number;
  private readonly _onChange: () => void;
  private readonly _limit: ServerLimit;
  private readonly _cold: ColdLimit;
  /** Limits this entry's requests while a limit applies or ramps up after its end. */
  private _bucket: TokenBucket;
  private _isLeaving = false;
  private _leavingHeardAt = Number.NEGATIVE_INFINITY;
  private _backoffUntil = Number.NEGATIVE_INFINITY;
  private _hasLoggedUnreadable = false;
  private _sentAt = Number.NEGATIVE_INFINITY;
  /** Monotonic milliseconds of the last limit notice, sent by this entry or received from another. */
  private _sharedAt = Number.NEGATIVE_INFINITY;

  constructor({ server, clock, log, share, phase, cold = NEVER_COLD, onChange }: BackpressureOptions) {
    this.server = server;
    this._clock = clock;
    this._log = log;
    this._share = share;
    this._phase = phase;
    this._onChange = onChange;
    this._limit = new ServerLimit(clock);
    this._cold = new ColdLimit({ server, clock, log, terms: cold, phase });
    this._bucket = new TokenBucket(clock);
  }

  /** Whether the server advertises a limit. */
  get isLimited(): boolean {
    return this._limit.advertised !== undefined;
  }

  /** Whether the server is cold and handles fewer requests while it is. */
  get isCold(): boolean {
    return this._cold.isCold;
  }

  /** Whether the server has announced its shutdown; this is final for the incarnation. */
  get isLeaving(): boolean {
    return this._isLeaving;
  }

  /** Whether the server has asked this entry, by Retry-After, to send no requests now. */
  get isBackingOff(): boolean {
    return this._backoffMilliseconds > 0;
  }

  /** Milliseconds until this entry may send a request; 0 when it may send now. */
  get waitMilliseconds(): number {
    return Math.max(this._backoffMilliseconds, this._limitWaitMilliseconds, this._cold.waitMilliseconds);
  }

  /** Whether a request that waited for its connection must no longer be sent. */
  get isClosed(): boolean {
    return this._isLeaving || this.isBackingOff;
  }

  /** Records that a request is being sent to the server. */
  noteSent(): void {
    this._sentAt = this._clock.now();
    if (this._limit.allowed !== undefined) this._bucket.take();
    this._cold.noteSent();
  }

  /** Records that the server is cold until `until`, in monotonic milliseconds. */
  noteCold(source: ColdSource, until: number): void {
    this._cold.note(source, until);
  }

  /** State to share with the other entries. */
  get sharedState(): SharedBackpressure {
    const { advertised: limitPerSecond, heardAt } = this._limit;
    const { coldMilliseconds } = this._cold;
    const latest = Math.max(heardAt, this._leavingHeardAt);
    return { limitPerSecond, leaving: this._isLeaving, heardAt: latest, coldMilliseconds };
  }

  /** Applies the signals of an answer to this entry. */
  applySignals(signals: AnswerSignals): void {
    const { limitPerSecond, leaving, retryAfterMilliseconds, coldMilliseconds, unreadable } = signals;
    const now = this._clock.now();
    if (unreadable !== undefined) this._noteUnreadable(unreadable);
    const hasLimitChanged =
      limitPerSecond === undefined ? this._noteNoLimit() : this._setLimit(limitPerSecond, now, 'answer');
    const isNewlyLeaving = leaving && this._markLeaving(now, 'answer');
    if (retryAfterMilliseconds > 0) this._backOff(retryAfterMilliseconds);
    const isConfirmed = limitPerSecond !== undefined && now - this._sharedAt >= CONFIRM_INTERVAL_MILLISECONDS;
    const isNewlyCold = coldMilliseconds > 0 && this._cold.note('answer', now + coldMilliseconds);
    if (hasLimitChanged || isNewlyLeaving || isConfirmed) this._notify(now);
    else if (isNewlyCold) this._onChange();
  }

  /** Applies a notice from another entry. State from a later answer takes precedence. */
  applyNotice({ limitPerSecond, leaving, heardAt, coldMilliseconds }: SharedBackpressure): void {
    if (coldMilliseconds > 0) this._cold.note('entry', this._clock.now() + coldMilliseconds);
    if (leaving) this._markLeaving(heardAt, 'entry');
    if (heardAt <= this._limit.heardAt) return;
    this._sharedAt = heardAt;
    if (limitPerSecond === undefined) this._endLimit(heardAt, 'entry');
    else this._setLimit(limitPerSecond, heardAt, 'entry');
  }

  private get _backoffMilliseconds(): number {
    return Math.max(0, this._backoffUntil - this._clock.now());
  }

  private get _limitWaitMilliseconds(): number {
    const allowed = this._limit.allowed;
    if (allowed === undefined) return 0;
    const { perSecond, entries } = this._share(allowed);
    this._bucket.setRate(perSecond);
    return perSecond > 0 ? this._bucket.waitMilliseconds : this._probeWaitMilliseconds(entries);
  }

  /**
   * Other entries hold the shares of the limit. If none of them has confirmed it lately, this entry probes in its
   * slot whether the limit still applies.
   */
  private _probeWaitMilliseconds(entries: number): number {
    const now = this._clock.now();
    const freshMilliseconds = this._limit.heardAt + STALE_NOTICE_MILLISECONDS - now;
    if (freshMilliseconds > 0) return freshMilliseconds;
    return millisecondsUntilProbe({ now, entries, phase: this._phase, probedAt: this._sentAt });
  }

  private _notify(now: number): void {
    this._sharedAt = now;
    this._onChange();
  }

  private _setLimit(perSecond: number, heardAt: number, source: SignalSource): boolean {
    const former = this._limit.advertised;
    if (this._limit.allowed === undefined) this._bucket = new TokenBucket(this._clock);
    const hasChanged = this._limit.update(perSecond, heardAt);
    if (hasChanged) this._log.state('server.limited', { server: this.server, perSecond, former, source });
    return hasChanged;
  }

  /** Handles an answer without a limit header; returns whether that ends a limit. */
  private _noteNoLimit(): boolean {
    if (!this._limit.canEnd) return false;
    this._endLimit(this._clock.now(), 'answer');
    return true;
  }

  private _endLimit(heardAt: number, source: SignalSource): void {
    const former = this._limit.advertised;
    this._limit.end(heardAt);
    if (former !== undefined) this._log.state('server.limit-ended', { server: this.server, former, source });
  }

  private _markLeaving(heardAt: number, source: SignalSource): boolean {
    if (this._isLeaving) return false;
    this._isLeaving = true;
    this._leavingHeardAt = heardAt;
    this._log.state('server.leaving', { server: this.server, source });
    return true;
  }

  private _backOff(milliseconds: number): void {
    if (!this.isBackingOff) this._log.state('server.backing-off', { server: this.server, milliseconds });
    this._backoffUntil = Math.max(this._backoffUntil, this._clock.now() + milliseconds);
  }

  private _noteUnreadable(header: string): void {
    if (!this._hasLoggedUnreadable)
      this._log.state('server.signal-unreadable', { server: this.server, header });
    this._hasLoggedUnreadable = true;
  }
}
