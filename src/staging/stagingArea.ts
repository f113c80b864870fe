/**
 * The place before the backend server, into which chunks are laid: it holds one copy of a model, of whichever version, and has one
 * holder at a time. Another version gets it only when no write or order of the holder can follow: a server that started again was
 * ordered to take an older version while chunks of a newer one went on being laid, and took some of these among its own.
 */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorCode } from '../utils/stepError.js';
import type { LocalBackend, OrderOutcome } from './localBackend.js';
import { CONNECTION_REFUSED } from './localBackend.js';

/** What the place works with. */
export interface StagingAreaOptions {
  backend: Pick<LocalBackend, 'putChunk' | 'getChunk' | 'startVersion'>;
  clock: Clock;
  log: EventLog;
}

/**
 * A call that was given up without an answer may still be carried out, by a server that stood still. When it answers again, it
 * reads what came on its other connections within milliseconds; this leaves it a hundred times as long.
 */
const SETTLING_MILLISECONDS = 1_000;

export class StagingArea {
  private readonly _options: StagingAreaOptions;
  private _holder = 0;
  private _heldSince = Number.NEGATIVE_INFINITY;
  /** Writes that have not ended; these promises never reject. */
  private readonly _underWay = new Set<Promise<void>>();
  /** Whether a call of the holder was given up that may still be carried out. */
  private _isUnsettled = false;
  /** Monotonic milliseconds from which on it cannot be any more; infinite until the server has answered since. */
  private _settledAt = Number.POSITIVE_INFINITY;

  constructor(options: StagingAreaOptions) {
    this._options = options;
  }

  /** The version whose chunks may be laid, 0 while none ever was. */
  get owner(): number {
    return this._holder;
  }

  /** Monotonic milliseconds from which on the holder's chunks alone were laid; minus infinity for the first holder. */
  get ownedSince(): number {
    return this._heldSince;
  }

  /** Whether a write or an order of the holder may still be carried out, though nobody waits for it any more. */
  get hasUncertainCall(): boolean {
    return this._isUnsettled && this._options.clock.now() < this._settledAt;
  }

  /** Gives the place to `version` once no write of its holder is under way; whether it has it. */
  async acquire(version: number): Promise<boolean> {
    if (version === this._holder) return true;
    if (this.hasUncertainCall) return false;
    const { clock, log } = this._options;
    const former = this._holder;
    this._holder = 0;
    await Promise.all(this._underWay);
    if (this.hasUncertainCall) {
      this._holder = former;
      return false;
    }
    this._holder = version;
    if (former === 0) return true;
    this._heldSince = clock.now();
    log.state('place.given', { version, former });
    return true;
  }

  /** Lays a chunk of `version`, which must be the holder. Throws when it is not, and a StepError when the chunk may not lie there. */
  async write(model: string, version: number, chunk: number, data: Buffer): Promise<void> {
    if (version !== this._holder) throw new Error(`version ${version} does not hold the staging place`);
    const write = this._options.backend.putChunk(model, chunk, data);
    const ended = write.catch((error) => this._onFailed(error)).finally(() => this._underWay.delete(ended));
    this._underWay.add(ended);
    await write;
  }

  /** What lies there; undefined when nothing does. */
  async read(model: string, chunk: number): Promise<Buffer | undefined> {
    return await this._options.backend.getChunk(model, chunk);
  }

  /** Orders the server to take the holder's version; refused when its revision is no longer `revision`. */
  async order(model: string, revision: number): Promise<OrderOutcome> {
    const outcome = await this._options.backend.startVersion(model, this._holder, revision);
    if (outcome === 'unknown') this._unsettle();
    return outcome;
  }

  /** The server has answered something else: what was given up is carried out soon or never. */
  onAnswer(): void {
    if (!this._isUnsettled || this._settledAt < Number.POSITIVE_INFINITY) return;
    this._settledAt = this._options.clock.now() + SETTLING_MILLISECONDS;
  }

  /** The server has ended: what was sent to it is gone with that. */
  onServerExit(): void {
    this._isUnsettled = false;
  }

  /** Where nothing listens nothing was written; any other failure leaves that open. */
  private _onFailed(error: unknown): void {
    if (errorCode((error as Error).cause) !== CONNECTION_REFUSED) this._unsettle();
  }

  private _unsettle(): void {
    this._isUnsettled = true;
    this._settledAt = Number.POSITIVE_INFINITY;
  }
}
