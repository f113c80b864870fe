/** Tracks the request limit that one backend server advertises in its answers. */
import type { Clock } from '../utils/clock.js';

/**
 * An answer without a limit ends the limit only after this time since the last answer with one, because answers
 * can arrive out of order.
 */
const MIN_AGE_TO_END_MILLISECONDS = 1_000;
/** After a limit ends, the allowed rate doubles at this interval, so that the load does not return all at once. */
const DOUBLING_MILLISECONDS = 500;
/** Duration of the ramp, after which the rate exceeds a server's usual load and is no longer limited. */
export const RAMP_MILLISECONDS = 3_000;
/** Minimum requests per second whatever the limit is: only an answer can show that the limit has ended. */
const MIN_PER_SECOND = 0.25;

/** Multiple of an ended limit that may be sent this many milliseconds after its end; 1 before the end. */
export function rampFactor(sinceEnd: number): number {
  return 2 ** (Math.max(0, sinceEnd) / DOUBLING_MILLISECONDS);
}

export class ServerLimit {
  private readonly _clock: Clock;
  /** Requests per second of the current limit, or of the ended one during the ramp. */
  private _perSecond: number | undefined;
  /** Monotonic milliseconds of the latest answer, received by any entry, that set or ended the limit. */
  private _heardAt = Number.NEGATIVE_INFINITY;
  /** Monotonic milliseconds of the end of the limit; undefined while it applies. */
  private _endedAt: number | undefined;

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Requests per second that the server advertises; undefined when it advertises no limit. */
  get advertised(): number | undefined {
    return this._endedAt === undefined ? this._perSecond : undefined;
  }

  /** Requests per second that all entries together may send now; undefined when unlimited. */
  get allowed(): number | undefined {
    if (this._perSecond === undefined) return undefined;
    const perSecond = Math.max(this._perSecond, MIN_PER_SECOND);
    if (this._endedAt === undefined) return perSecond;
    const sinceEnd = this._clock.now() - this._endedAt;
    if (sinceEnd < RAMP_MILLISECONDS) return perSecond * rampFactor(sinceEnd);
    this._perSecond = undefined;
    return undefined;
  }

  /** Monotonic milliseconds of the answer that last set or ended the limit; -Infinity if there was none. */
  get heardAt(): number {
    return this._heardAt;
  }

  /** Sets the limit from an answer received at `heardAt`. Returns whether the limit changed. */
  update(perSecond: number, heardAt: number): boolean {
    const hasChanged = this.advertised !== perSecond;
    this._perSecond = perSecond;
    this._heardAt = heardAt;
    this._endedAt = undefined;
    return hasChanged;
  }

  /** Whether an answer without a limit header ends the limit. */
  get canEnd(): boolean {
    return this.advertised !== undefined && this._clock.now() - this._heardAt >= MIN_AGE_TO_END_MILLISECONDS;
  }

  /** Ends the limit because of an answer received at `heardAt`. */
  end(heardAt: number): void {
    if (this.advertised !== undefined) this._endedAt = this._clock.now();
    this._heardAt = heardAt;
  }
}
