/**
 * Wraps the origin of weights and keeps the time since which all calls to it have failed. Without this, an origin that
 * resets all connections could not be told apart from a slow transfer.
 */
import type { Origin, OriginRange } from '../external/origin.js';
import type { Manifest } from '../protocol/manifest.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorText } from '../utils/stepError.js';

/** An origin that logs when it stops answering and when it answers again. */
export class WatchedOrigin implements Origin {
  private readonly _origin: Origin;
  private readonly _clock: Clock;
  private readonly _log: EventLog;
  /** Monotonic milliseconds of the first failure since the last answer; undefined while calls are answered. */
  private _lostAt: number | undefined;

  constructor(origin: Origin, clock: Clock, log: EventLog) {
    this._origin = origin;
    this._clock = clock;
    this._log = log;
  }

  /** Milliseconds since the first failure after the last answer; 0 if the last call was answered. */
  get lostFor(): number {
    return this._lostAt === undefined ? 0 : this._clock.now() - this._lostAt;
  }

  async manifest(customer: string, model: string, version: string): Promise<Manifest> {
    return await this._watch(async () => await this._origin.manifest(customer, model, version));
  }

  async read(range: OriginRange, signal: AbortSignal): Promise<AsyncIterable<Buffer>> {
    return await this._watch(async () => await this._origin.read(range, signal), signal);
  }

  private async _watch<T>(call: () => Promise<T>, signal?: AbortSignal): Promise<T> {
    try {
      const answer = await call();
      this._onAnswer();
      return answer;
    } catch (error) {
      // A call that this process aborts does not mean that the origin has failed.
      if (!signal?.aborted) this._onFailure(errorText(error));
      throw error;
    }
  }

  private _onAnswer(): void {
    if (this._lostAt === undefined) return;
    this._log.state('origin.reached', { lostMilliseconds: Math.round(this.lostFor) });
    this._lostAt = undefined;
  }

  private _onFailure(reason: string): void {
    if (this._lostAt !== undefined) return;
    this._lostAt = this._clock.now();
    this._log.state('origin.lost', { reason });
  }
}
