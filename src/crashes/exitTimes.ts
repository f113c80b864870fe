/** When this entry learned of the last server exit under each identity. */
import { LRUCache } from 'lru-cache';
import type { Clock } from '../utils/clock.js';

interface LastExit {
  /** Number of server exits by then. */
  ends: number;
  /** Monotonic milliseconds. */
  at: number;
}

export class ExitTimes {
  private readonly _clock: Clock;
  private readonly _last: LRUCache<string, LastExit>;

  constructor(clock: Clock, maxIdentities: number) {
    this._clock = clock;
    this._last = new LRUCache({ max: maxIdentities });
  }

  /** Records that `ends` exits are known; the time changes only if these are more than before. */
  record(fingerprint: string, ends: number): void {
    const known = this._last.get(fingerprint);
    if (!known || known.ends < ends) this._last.set(fingerprint, { ends, at: this._clock.now() });
  }

  /** Milliseconds since the last exit became known; infinite if there is none. */
  since(fingerprint: string): number {
    return this._clock.now() - (this._last.get(fingerprint)?.at ?? Number.NEGATIVE_INFINITY);
  }

  forget(fingerprint: string): void {
    this._last.delete(fingerprint);
  }
}
