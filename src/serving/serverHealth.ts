/** How a backend server has answered lately. */
import type { Clock } from '../utils/clock.js';

/** How one attempt ended, seen from the server's health; `displaced`: another server answered at its address. */
export type AttemptOutcome = 'succeeded' | 'failed' | 'rejected' | 'displaced' | 'silent';

/** Time after which what was seen counts half. */
const HALF_LIFE_MILLISECONDS = 2_500;
/** Attempts that an unseen server is taken to have succeeded in. */
const PRIOR_SUCCESSES = 4;
/** Weight of the newest time to the first answer. */
const NEWEST_WEIGHT = 0.3;
const REJECTION_WEIGHT = 0.5;
const SILENCE_WEIGHT = 3;
/** Pause after a rejection, after silence, and after a failed connection. */
const REJECTED_PAUSE_MILLISECONDS = 150;
const SILENT_PAUSE_MILLISECONDS = 1_000;
const DISPLACED_PAUSE_MILLISECONDS = 1_500;
const UNREACHABLE_PAUSE_MILLISECONDS = 700;
/** Failures in a row, with no success between them, that say more than the failures that every server has now and then. */
const FAILURES_IN_ROW = 2;
/**
 * Pause after so many failures in a row; each further one doubles it up to the longest. Then one request at a time tries the
 * server. Without pauses a server that reset every connection for 6 s took 248 of 1,500 requests where others were full.
 */
const FAILED_PAUSE_MILLISECONDS = 500;
const LONGEST_FAILED_PAUSE_MILLISECONDS = 2_000;

/** Counts attempts, the newer the more. One per backend server. */
export class ServerHealth {
  private readonly _clock: Clock;
  private _successes = 0;
  private _failures = 0;
  private _failuresInRow = 0;
  private _countedAt: number;
  private _avoidedUntil = 0;
  private _firstAnswer = 0;
  private _firstAnswerAt = 0;

  constructor(clock: Clock) {
    this._clock = clock;
    this._countedAt = clock.now();
  }

  /** Part of recent attempts that failed, from 0 to 1. */
  get failureRate(): number {
    this._age();
    return this._failures / (this._failures + this._successes + PRIOR_SUCCESSES);
  }

  /** Recent time to the first answer, in milliseconds; fades while nothing is measured, so that the server is tried again. */
  get firstAnswerMilliseconds(): number {
    const age = this._clock.now() - this._firstAnswerAt;
    return this._firstAnswer * 0.5 ** (age / HALF_LIFE_MILLISECONDS);
  }

  /** Notes how long an attempt waited for its first answer. */
  noteFirstAnswer(milliseconds: number): void {
    this._firstAnswer += (milliseconds - this._firstAnswer) * NEWEST_WEIGHT;
    this._firstAnswerAt = this._clock.now();
  }

  /** Whether to pass over the server for now. */
  get avoided(): boolean {
    return this._clock.now() < this._avoidedUntil;
  }

  /** Whether it fails time after time and is not to be tried while it has `outstanding` requests of this process. */
  failing(outstanding: number): boolean {
    return this._failuresInRow >= FAILURES_IN_ROW && (this.avoided || outstanding > 0);
  }

  noteOutcome(end: AttemptOutcome): void {
    this._age();
    if (end === 'succeeded') {
      this._successes++;
      this._failuresInRow = 0;
    } else if (end === 'failed') this._noteFailure();
    else if (end === 'rejected') {
      this._failures += REJECTION_WEIGHT;
      this._avoid(REJECTED_PAUSE_MILLISECONDS);
    } else if (end === 'displaced') this._avoid(DISPLACED_PAUSE_MILLISECONDS);
    else {
      this._failures += SILENCE_WEIGHT;
      this._failuresInRow++;
      this._avoid(SILENT_PAUSE_MILLISECONDS);
    }
  }

  /** A connection could not be opened. */
  noteUnreachable(): void {
    this._age();
    this._noteFailure();
    this._avoid(UNREACHABLE_PAUSE_MILLISECONDS);
  }

  private _noteFailure(): void {
    this._failures++;
    this._failuresInRow++;
    const doublings = this._failuresInRow - FAILURES_IN_ROW;
    if (doublings < 0) return;
    this._avoid(Math.min(FAILED_PAUSE_MILLISECONDS * 2 ** doublings, LONGEST_FAILED_PAUSE_MILLISECONDS));
  }

  private _avoid(milliseconds: number): void {
    this._avoidedUntil = Math.max(this._avoidedUntil, this._clock.now() + milliseconds);
  }

  private _age(): void {
    const now = this._clock.now();
    const factor = 0.5 ** ((now - this._countedAt) / HALF_LIFE_MILLISECONDS);
    this._successes *= factor;
    this._failures *= factor;
    this._countedAt = now;
  }
}
