/** What one life of a backend server asks of those that send it requests, as its answers have told. */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { AnswerSignals } from './answerSignals.js';
import type { LimitShare } from './limitShare.js';
import { millisecondsUntilProbe } from './probeSlot.js';
import { TokenBucket } from './tokenBucket.js';
import { ServerLimit } from './serverLimit.js';

/** How often all entries are told that a limit still holds. */
const CONFIRM_MILLISECONDS = 10_000;
/** After so long without such a notice nobody sends to the server, or nobody can tell. */
const STALE_MILLISECONDS = 15_000;

/** What is known of a server beside its answers. */
export interface BackpressureOptions {
  /** Id of the server. */
  server: string;
  clock: Clock;
  log: EventLog;
  /** This entry's part of the requests a second that the server takes from all entries. */
  share: (perSecond: number) => LimitShare;
  /** Where this entry stands among those that ask a server in turn whether its limit still holds, from 0 up to 1. */
  phase: number;
  /** An answer to this entry has changed what the server asks of all entries. */
  onChange: () => void;
}

/** What a server asks of all entries. */
export interface SharedBackpressure {
  limitPerSecond: number | undefined;
  leaving: boolean;
  /** Monotonic milliseconds of the answer that told it. */
  heardAt: number;
}

/** Who told it: an answer to this entry, or another entry. */
type SignalSource = 'answer' | 'entry';

export class ServerBackpressure {
  /** Id of the server. */
  readonly server: string;
  private readonly _clock: Clock;
  private readonly _log: EventLog;
  private readonly _share: (perSecond: number) => LimitShare;
  private readonly _phase: number;
  private readonly _onChange: () => void;
  private readonly _limit: ServerLimit;
  /** What this entry may send while a limit holds, or has ended just now. */
  private _allowance: TokenBucket;
  private _isLeaving = false;
  private _leavingHeardAt = Number.NEGATIVE_INFINITY;
  private _backoffUntil = Number.NEGATIVE_INFINITY;
  private _hasLoggedUnreadable = false;
  private _sentAt = Number.NEGATIVE_INFINITY;
  /** Monotonic milliseconds of the answer by which all entries have last been told of the limit. */
  private _sharedAt = Number.NEGATIVE_INFINITY;

  constructor({ server, clock, log, share, phase, onChange }: BackpressureOptions) {
    this.server = server;
    this._clock = clock;
    this._log = log;
    this._share = share;
    this._phase = phase;
    this._onChange = onChange;
    this._limit = new ServerLimit(clock);
    this._allowance = new TokenBucket(clock);
  }

  /** Whether the server names a limit. */
  get isLimited(): boolean {
    return this._limit.advertised !== undefined;
  }

  /** Whether the server has said that it leaves; it does not come back in this life. */
  get isLeaving(): boolean {
    return this._isLeaving;
  }

  /** Whether the server wants no request from this entry now. */
  get isBackingOff(): boolean {
    return this._backoffMilliseconds > 0;
  }

  /** Milliseconds until this entry may send a request, 0 when it may now; infinite when others are to. */
  get waitMilliseconds(): number {
    return Math.max(this._backoffMilliseconds, this._limitMilliseconds);
  }

  /** Whether a request is not to be sent any more that has waited for its connection. */
  get isClosed(): boolean {
    return this._isLeaving || this.isBackingOff;
  }

  /** A request is sent to the server. */
  noteSent(): void {
    this._sentAt = this._clock.now();
    if (this._limit.allowed !== undefined) this._allowance.take();
  }

  /** What the server asks of all entries. */
  get sharedState(): SharedBackpressure {
    const { advertised: limitPerSecond, heardAt } = this._limit;
    return { limitPerSecond, leaving: this._isLeaving, heardAt: Math.max(heardAt, this._leavingHeardAt) };
  }

  /** Takes what an answer to this entry says. */
  applySignals(signals: AnswerSignals): void {
    const { limitPerSecond, leaving, retryAfterMilliseconds, unreadable } = signals;
    const now = this._clock.now();
    if (unreadable !== undefined) this._noteUnreadable(unreadable);
    const hasLimitChanged =
      limitPerSecond === undefined ? this._passOver() : this._name(limitPerSecond, now, 'answer');
    const isNewlyLeaving = leaving && this._leave(now, 'answer');
    if (retryAfterMilliseconds > 0) this._backOff(retryAfterMilliseconds);
    const isConfirmed = limitPerSecond !== undefined && now - this._sharedAt >= CONFIRM_MILLISECONDS;
    if (hasLimitChanged || isNewlyLeaving || isConfirmed) this._tell(now);
  }

  /** Takes what another entry has heard. What is known here from a later answer stays. */
  applyNotice({ limitPerSecond, leaving, heardAt }: SharedBackpressure): void {
    if (leaving) this._leave(heardAt, 'entry');
    if (heardAt <= this._limit.heardAt) return;
    this._sharedAt = heardAt;
    if (limitPerSecond === undefined) this._end(heardAt, 'entry');
    else this._name(limitPerSecond, heardAt, 'entry');
  }

  private get _backoffMilliseconds(): number {
    return Math.max(0, this._backoffUntil - this._clock.now());
  }

  private get _limitMilliseconds(): number {
    const allowed = this._limit.allowed;
    if (allowed === undefined) return 0;
    const { perSecond, entries } = this._share(allowed);
    this._allowance.setRate(perSecond);
    return perSecond > 0 ? this._allowance.waitMilliseconds : this._probeMilliseconds(entries);
  }

  /** Others send to the server; where none of them has told of it lately, this entry asks in its turn whether the limit still holds. */
  private _probeMilliseconds(entries: number): number {
    const now = this._clock.now();
    const freshMilliseconds = this._limit.heardAt + STALE_MILLISECONDS - now;
    if (freshMilliseconds > 0) return freshMilliseconds;
    return millisecondsUntilProbe({ now, entries, phase: this._phase, askedAt: this._sentAt });
  }

  private _tell(now: number): void {
    this._sharedAt = now;
    this._onChange();
  }

  private _name(perSecond: number, heardAt: number, source: SignalSource): boolean {
    const former = this._limit.advertised;
    if (this._limit.allowed === undefined) this._allowance = new TokenBucket(this._clock);
    const isOther = this._limit.update(perSecond, heardAt);
    if (isOther) this._log.state('server.limited', { server: this.server, perSecond, former, source });
    return isOther;
  }

  /** An answer names no limit; returns whether one ends by that. */
  private _passOver(): boolean {
    if (!this._limit.canEnd) return false;
    this._end(this._clock.now(), 'answer');
    return true;
  }

  private _end(heardAt: number, source: SignalSource): void {
    const former = this._limit.advertised;
    this._limit.end(heardAt);
    if (former !== undefined) this._log.state('server.limit-ended', { server: this.server, former, source });
  }

  private _leave(heardAt: number, source: SignalSource): boolean {
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
