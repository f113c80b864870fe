/** When this entry learned of the last server exit under each identity. */
import { LRUCache } from 'lru-cache';
import type { Clock } from '../utils/clock.js';

interface LastExit {
  server: string;
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

  /** Records the server that exited last; the time changes only if it is another one than before. */
  record(fingerprint: string, server: string): void {
    if (this._last.get(fingerprint)?.server === server) return;
    this._last.set(fingerprint, { server, at: this._clock.now() });
  }

  /** Milliseconds since the last exit became known; infinite if there is none. */
  since(fingerprint: string): number {
    return this._clock.now() - (this._last.get(fingerprint)?.at ?? Number.NEGATIVE_INFINITY);
  }

  forget(fingerprint: string): void {
    this._last.delete(fingerprint);
  }
}
