/** Limits the requests to one server while it is cold, and for a while after. */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { ColdShare } from './coldShare.js';
import { RAMP_MILLISECONDS, rampFactor } from './serverLimit.js';
import { TokenBucket } from './tokenBucket.js';

/** What told that the server is cold: its record, an answer, an observed start, or another entry. */
export type ColdSource = 'record' | 'answer' | 'start' | 'entry';

/** The limit that applies to one server while it is cold. */
export interface ColdTerms {
  /** Returns the requests per second that the server handles while cold; 0 if that is not limited. */
  perSecond: () => number;
  /** Returns this entry's share; undefined if only other entries may send. */
  share: (coldPerSecond: number) => ColdShare | undefined;
}

export interface ColdLimitOptions {
  /** Id of the server. */
  server: string;
  clock: Clock;
  log: EventLog;
  terms: ColdTerms;
  /** From 0 to 1 (exclusive); spreads the first requests of the entries over the interval between two requests. */
  phase: number;
}

/** A longer time means that the server's configuration or record is wrong. */
const MAX_COLD_MILLISECONDS = 60_000;
/** Ends that differ by less are the same end, told with different delays. */
const SAME_END_MILLISECONDS = 500;

/** The source that ends last applies. */
export class ColdLimit {
  private readonly _options: ColdLimitOptions;
  private readonly _clock: Clock;
  private _bucket: TokenBucket;
  /** The source of the end that applies. */
  private _source: ColdSource = 'record';
  /** Monotonic milliseconds. */
  private _coldSince = Number.NEGATIVE_INFINITY;
  /** Monotonic milliseconds; -Infinity if the server was not cold, or the ramp is over. */
  private _coldUntil = Number.NEGATIVE_INFINITY;
  private _isLoggedCold = false;

  constructor(options: ColdLimitOptions) {
    this._options = options;
    this._clock = options.clock;
    this._bucket = new TokenBucket(options.clock);
  }

  /** Whether the server is cold and handles a limited rate while it is. */
  get isCold(): boolean {
    this._logChange();
    return this.coldMilliseconds > 0 && this._options.terms.perSecond() > 0;
  }

  /** Milliseconds for which the server remains cold; 0 when it is warm. */
  get coldMilliseconds(): number {
    return Math.max(0, this._coldUntil - this._clock.now());
  }

  /** Milliseconds until this entry may send a request; 0 when it may send now. */
  get waitMilliseconds(): number {
    if (this._coldUntil === Number.NEGATIVE_INFINITY) return 0;
    this._logChange();
    const untilUnlimited = this._coldUntil + RAMP_MILLISECONDS - this._clock.now();
    if (untilUnlimited <= 0) {
      this._coldUntil = Number.NEGATIVE_INFINITY;
      return 0;
    }
    const perSecond = this._options.terms.perSecond();
    if (perSecond <= 0) return 0;
    const share = this._updateRate(perSecond);
    if (share) return Math.min(this._bucket.waitMilliseconds, untilUnlimited);
    // The ramp gives more entries a share soon after the end.
    return this.coldMilliseconds || untilUnlimited;
  }

  /**
   * Records that the server is cold until `until`, in monotonic milliseconds. Returns whether it becomes cold by that,
   * or remains cold for considerably longer than known.
   */
  note(source: ColdSource, until: number): boolean {
    const now = this._clock.now();
    const end = Math.min(until, now + MAX_COLD_MILLISECONDS);
    if (!(end > now) || end <= this._coldUntil) return false;
    const isNews = this.coldMilliseconds === 0 || end - this._coldUntil > SAME_END_MILLISECONDS;
    if (this.coldMilliseconds === 0) this._begin();
    if (isNews) this._source = source;
    this._coldUntil = end;
    const perSecond = this._options.terms.perSecond();
    if (perSecond > 0) this._updateRate(perSecond);
    this._logChange();
    return isNews;
  }

  /** Records that a request is being sent to the server. */
  noteSent(): void {
    if (this._clock.now() - this._coldUntil < RAMP_MILLISECONDS) this._bucket.take();
  }

  private _begin(): void {
    const now = this._clock.now();
    this._coldSince = now;
    if (now - this._coldUntil >= RAMP_MILLISECONDS)
      this._bucket = new TokenBucket(this._clock, this._options.phase);
  }

  private _updateRate(perSecond: number): ColdShare | undefined {
    const sinceEnd = this._clock.now() - this._coldUntil;
    const share = this._options.terms.share(perSecond * rampFactor(sinceEnd));
    this._bucket.setRate(share?.perSecond ?? 0, share?.burst);
    return share;
  }

  /** Logs when the server has become cold or warm. The end is noticed when the server is next considered. */
  private _logChange(): void {
    const { server, log, terms } = this._options;
    const left = this.coldMilliseconds;
    const isCold = left > 0 && terms.perSecond() > 0;
    if (isCold === this._isLoggedCold) return;
    this._isLoggedCold = isCold;
    const perSecond = terms.share(terms.perSecond())?.perSecond ?? 0;
    const milliseconds = isCold ? left : this._coldUntil - this._coldSince;
    log.state(isCold ? 'server.cold' : 'server.warm', {
      server,
      source: this._source,
      milliseconds,
      perSecond,
    });
  }
}
