/** What one life of a backend server asks of those that send it requests, as its answers have told. */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { AnswerSignals } from './answerSignals.js';
import { SendAllowance } from './sendAllowance.js';
import { ServerLimit } from './serverLimit.js';

/** What is known of a server beside its answers. */
export interface BackpressureOptions {
  /** Id of the server. */
  server: string;
  clock: Clock;
  log: EventLog;
  /** This entry's part, in requests a second, of what the server takes from all entries. */
  share: (perSecond: number) => number;
  /** An answer to this entry has changed what the server asks of all entries. */
  onChange: () => void;
}

/** What a server asks of all entries. */
export interface ServerDemand {
  limitPerSecond: number | undefined;
  leaving: boolean;
  /** Monotonic milliseconds of the answer that told it. */
  heardAt: number;
}

/** By whose word something is believed: an answer to this entry, or another entry's. */
type SignalSource = 'answer' | 'entry';

export class ServerBackpressure {
  /** Id of the server. */
  readonly server: string;
  private readonly _clock: Clock;
  private readonly _log: EventLog;
  private readonly _share: (perSecond: number) => number;
  private readonly _onChange: () => void;
  private readonly _limit: ServerLimit;
  /** What this entry may send while a limit holds, or has ended just now. */
  private _allowance: SendAllowance;
  private _isLeaving = false;
  private _leavingHeardAt = Number.NEGATIVE_INFINITY;
  private _restsUntil = Number.NEGATIVE_INFINITY;
  private _hasLoggedUnreadable = false;

  constructor({ server, clock, log, share, onChange }: BackpressureOptions) {
    this.server = server;
    this._clock = clock;
    this._log = log;
    this._share = share;
    this._onChange = onChange;
    this._limit = new ServerLimit(clock);
    this._allowance = new SendAllowance(clock);
  }

  /** Whether the server names a limit. */
  get isLimited(): boolean {
    return this._limit.named !== undefined;
  }

  /** Whether the server has said that it leaves; it does not come back in this life. */
  get isLeaving(): boolean {
    return this._isLeaving;
  }

  /** Whether the server wants no request from this entry now. */
  get isResting(): boolean {
    return this._restMilliseconds > 0;
  }

  /** Milliseconds until this entry may send a request, 0 when it may now; infinite when others are to. */
  get waitMilliseconds(): number {
    return Math.max(this._restMilliseconds, this._limitMilliseconds);
  }

  /** Whether a request that has been on its way to a connection should still be sent. */
  get isClosed(): boolean {
    return this._isLeaving || this.isResting;
  }

  /** A request is sent to the server. */
  noteSent(): void {
    if (this._limit.allowed !== undefined) this._allowance.take();
  }

  /** What the server asks of all entries. */
  get demand(): ServerDemand {
    const { named: limitPerSecond, heardAt } = this._limit;
    return { limitPerSecond, leaving: this._isLeaving, heardAt: Math.max(heardAt, this._leavingHeardAt) };
  }

  /** Takes what an answer to this entry says. */
  note(signals: AnswerSignals): void {
    const { limitPerSecond, leaving, restMilliseconds, unreadable } = signals;
    if (unreadable !== undefined) this._noteUnreadable(unreadable);
    const hasLimitChanged =
      limitPerSecond === undefined ? this._passOver() : this._name(limitPerSecond, 'answer');
    const isNewlyLeaving = leaving && this._leave(this._clock.now(), 'answer');
    if (restMilliseconds > 0) this._rest(restMilliseconds);
    if (hasLimitChanged || isNewlyLeaving) this._onChange();
  }

  /** Takes what another entry has heard. What is known here from a later answer stays. */
  noteTold({ limitPerSecond, leaving, heardAt }: ServerDemand): void {
    if (leaving) this._leave(heardAt, 'entry');
    if (heardAt <= this._limit.heardAt) return;
    if (limitPerSecond === undefined) this._end('entry');
    else this._name(limitPerSecond, 'entry');
  }

  private get _restMilliseconds(): number {
    return Math.max(0, this._restsUntil - this._clock.now());
  }

  private get _limitMilliseconds(): number {
    const allowed = this._limit.allowed;
    if (allowed === undefined) return 0;
    this._allowance.setRate(this._share(allowed));
    return this._allowance.waitMilliseconds;
  }

  private _name(perSecond: number, source: SignalSource): boolean {
    const former = this._limit.named;
    if (this._limit.allowed === undefined) this._allowance = new SendAllowance(this._clock);
    const isOther = this._limit.name(perSecond);
    if (isOther) this._log.state('server.limited', { server: this.server, perSecond, former, source });
    return isOther;
  }

  /** An answer names no limit; returns whether one ends by that. */
  private _passOver(): boolean {
    if (!this._limit.mayEnd) return false;
    this._end('answer');
    return true;
  }

  private _end(source: SignalSource): void {
    const former = this._limit.named;
    if (former === undefined) return;
    this._limit.end();
    this._log.state('server.limit-ended', { server: this.server, former, source });
  }

  private _leave(heardAt: number, source: SignalSource): boolean {
    if (this._isLeaving) return false;
    this._isLeaving = true;
    this._leavingHeardAt = heardAt;
    this._log.state('server.leaving', { server: this.server, source });
    return true;
  }

  private _rest(milliseconds: number): void {
    if (!this.isResting) this._log.state('server.resting', { server: this.server, milliseconds });
    this._restsUntil = Math.max(this._restsUntil, this._clock.now() + milliseconds);
  }

  private _noteUnreadable(header: string): void {
    if (!this._hasLoggedUnreadable)
      this._log.state('server.signal-unreadable', { server: this.server, header });
    this._hasLoggedUnreadable = true;
  }
}
