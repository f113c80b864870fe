/** Remembers which services have lately sent answers with neither a length nor chunks. */
import type { Clock } from '../utils/clock.js';

/** Time for which such an answer is remembered. */
const MEMORY_MILLISECONDS = 5_000;

/** By service, since a server that has just been replaced sends such answers as the one before it did. */
export class UnframedServices {
  private readonly _clock: Clock;
  private readonly _seenAt = new Map<string, number>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** A server of `service` has sent such an answer. */
  note(service: string): void {
    this._seenAt.set(service, this._clock.now());
  }

  /** Whether a server of `service` has sent such an answer lately. */
  has(service: string): boolean {
    const seenAt = this._seenAt.get(service);
    return seenAt !== undefined && this._clock.now() - seenAt < MEMORY_MILLISECONDS;
  }
}
