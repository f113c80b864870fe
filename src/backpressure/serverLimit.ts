/** The limit of one backend server, as it is believed from answer to answer. */
import type { Clock } from '../utils/clock.js';

/** Answers that name no limit end it only so long after the last one that did: the two may have overtaken each other. */
const END_MILLISECONDS = 1_000;
/** After the end of a limit what may be sent doubles so often, so that all entries do not send their load back at once. */
const DOUBLING_MILLISECONDS = 500;
/** By then it has grown to more than a server's usual share. */
const RAMP_MILLISECONDS = 3_000;
/** Requests a second that are sent whatever the limit: only an answer tells of its end. */
const LEAST_PER_SECOND = 0.25;

export class ServerLimit {
  private readonly _clock: Clock;
  /** Undefined while no limit holds. */
  private _perSecond: number | undefined;
  /** Monotonic milliseconds of the latest answer that anybody has told of it. */
  private _heardAt = Number.NEGATIVE_INFINITY;
  /** Monotonic milliseconds; undefined while the server names its limit. */
  private _endedAt: number | undefined;

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Requests a second as the server named them; undefined when it names no limit. */
  get advertised(): number | undefined {
    return this._endedAt === undefined ? this._perSecond : undefined;
  }

  /** Requests a second that all entries together may send now; undefined when there is no bound. */
  get allowed(): number | undefined {
    if (this._perSecond === undefined) return undefined;
    const least = Math.max(this._perSecond, LEAST_PER_SECOND);
    if (this._endedAt === undefined) return least;
    const sinceEnd = this._clock.now() - this._endedAt;
    if (sinceEnd < RAMP_MILLISECONDS) return least * 2 ** (sinceEnd / DOUBLING_MILLISECONDS);
    this._perSecond = undefined;
    return undefined;
  }

  /** Monotonic milliseconds of the answer by which the limit was last named or ended; -infinity when there was none. */
  get heardAt(): number {
    return this._heardAt;
  }

  /** The server has named a limit in an answer of that time. Returns whether it is another one. */
  update(perSecond: number, heardAt: number): boolean {
    const isOther = this.advertised !== perSecond;
    this._perSecond = perSecond;
    this._heardAt = heardAt;
    this._endedAt = undefined;
    return isOther;
  }

  /** Whether an answer that names none ends the limit. */
  get canEnd(): boolean {
    return this.advertised !== undefined && this._clock.now() - this._heardAt >= END_MILLISECONDS;
  }

  /** The limit has ended, by an answer of that time. */
  end(heardAt: number): void {
    if (this.advertised !== undefined) this._endedAt = this._clock.now();
    this._heardAt = heardAt;
  }
}
