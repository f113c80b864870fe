/** The planned stop of a process that forwards answers as they arrive. */
import type { Clock } from '../utils/clock.js';
import { ClosingTime } from './closingTime.js';

export class ProcessDrain {
  private readonly _closing: ClosingTime;

  constructor(clock: Clock) {
    this._closing = new ClosingTime(clock);
  }

  get isLeaving(): boolean {
    return this._closing.isSet;
  }

  /** Milliseconds until the connections are closed; infinite while the process is not leaving. */
  get closesInMilliseconds(): number {
    return this._closing.leftMilliseconds;
  }

  /** Begins the stop: connections are closed after `milliseconds`. */
  closeIn(milliseconds: number): void {
    this._closing.closeIn(milliseconds);
  }

  /** Whether a request may start: only its deadline, in milliseconds from now, ends it before the close for certain. */
  mayStart(deadlineMilliseconds = Number.POSITIVE_INFINITY): boolean {
    return deadlineMilliseconds <= this.closesInMilliseconds;
  }
}
