/**
 * The staging area of the backend server: it has room for one copy of a model and is owned by one version at a
 * time. Another version acquires it only when no write or order of the owner can still be executed. Without this
 * rule, a restarted server that was ordered to load an older version also loaded chunks of a newer version that was
 * still being staged.
 *
 * It is locked from before an order until it is known which chunks the server took: a chunk that is found intact
 * after the server took it was intact then, unless it was written in between.
 */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorCode } from '../utils/stepError.js';
import type { LayerRange, LocalBackend, OrderOutcome } from './localBackend.js';
import { CONNECTION_REFUSED } from './localBackend.js';

/** Options of a {@link StagingArea}. */
export interface StagingAreaOptions {
  backend: Pick<LocalBackend, 'putChunk' | 'getChunk' | 'startVersion'>;
  clock: Clock;
  log: EventLog;
}

/**
 * A server that was paused may still execute a call that was given up without an answer. Once it answers again, it
 * reads the data of its other connections within milliseconds; this delay is about a hundred times as long.
 */
const LATE_EXECUTION_MILLISECONDS = 1_000;

export class StagingArea {
  private readonly _options: StagingAreaOptions;
  private _owner = 0;
  private _ownedSince = Number.NEGATIVE_INFINITY;
  private _isLocked = false;
  private _lastWriteAt = Number.NEGATIVE_INFINITY;
  /** Running writes; these promises never reject. */
  private readonly _runningWrites = new Set<Promise<void>>();
  /** Whether a call of the owner, or of an earlier incarnation of this agent, was given up without an answer. */
  private _callGivenUp = false;
  /**
   * Monotonic milliseconds from which that call can no longer be executed; infinite until the server has answered
   * since.
   */
  private _safeAt = Number.POSITIVE_INFINITY;

  constructor(options: StagingAreaOptions) {
    this._options = options;
  }

  /** The version whose chunks may be staged; 0 if there is none yet. */
  get owner(): number {
    return this._owner;
  }

  /**
   * Monotonic milliseconds since which only chunks of the owner have been staged; minus infinity for the first
   * owner.
   */
  get ownedSince(): number {
    return this._ownedSince;
  }

  /** Whether the server may still execute a write or an order of the owner that was given up without an answer. */
  get hasUncertainCall(): boolean {
    return this._callGivenUp && this._options.clock.now() < this._safeAt;
  }

  get isLocked(): boolean {
    return this._isLocked;
  }

  /** Monotonic milliseconds at which the last write began; minus infinity before the first one. */
  get lastWriteAt(): number {
    return this._lastWriteAt;
  }

  /** Whether chunks of `version` may be written now. */
  mayWrite(version: number): boolean {
    return version === this._owner && !this._isLocked;
  }

  /**
   * Locks the area, so that nothing is written to it, once no write is running. Returns false, and does not lock it,
   * while a call that was given up may still be executed.
   */
  async lock(): Promise<boolean> {
    if (this._isLocked) return true;
    this._isLocked = true;
    await Promise.all(this._runningWrites);
    this._isLocked = !this.hasUncertainCall;
    return this._isLocked;
  }

  /** Ends a lock. Chunks that are written while an order may still be taken can't be judged after it. */
  unlock(): void {
    this._isLocked = false;
  }

  /**
   * Makes `version` the owner once no write of the current owner is running. Returns whether it is the owner; false
   * while a call that was given up may still be executed, or while the area is locked.
   */
  async acquire(version: number): Promise<boolean> {
    if (version === this._owner) return true;
    if (this._isLocked || this.hasUncertainCall) return false;
    const { clock, log } = this._options;
    const former = this._owner;
    this._owner = 0;
    await Promise.all(this._runningWrites);
    if (this.hasUncertainCall) {
      this._owner = former;
      return false;
    }
    this._owner = version;
    if (former === 0) return true;
    this._ownedSince = clock.now();
    log.state('place.given', { version, former });
    return true;
  }

  /**
   * Stages a chunk of `version`. Throws an Error if the version may not write, and a StepError if the chunk may not
   * have been staged.
   */
  async write(model: string, version: number, chunk: number, data: Buffer): Promise<void> {
    if (!this.mayWrite(version)) throw new Error(`version ${version} may not write to the staging area`);
    this._lastWriteAt = this._options.clock.now();
    const write = this._options.backend.putChunk(model, chunk, data);
    const ended = write
      .catch((error) => this._onFailed(error))
      .finally(() => this._runningWrites.delete(ended));
    this._runningWrites.add(ended);
    await write;
  }

  /** Returns a staged chunk; undefined if there is none. */
  async read(model: string, chunk: number): Promise<Buffer | undefined> {
    return await this._options.backend.getChunk(model, chunk);
  }

  /**
   * Orders the server to load `layers` of the owner's version, or all; refused if the server's revision is not
   * `revision`.
   */
  async order(model: string, revision: number, layers?: LayerRange): Promise<OrderOutcome> {
    const outcome = await this._options.backend.startVersion(model, this._owner, revision, layers);
    if (outcome === 'unknown') this._onCallGivenUp();
    return outcome;
  }

  /** Records that the server has answered another call: it executes calls that were given up soon or never. */
  onAnswer(): void {
    if (!this._callGivenUp || this._safeAt < Number.POSITIVE_INFINITY) return;
    this._safeAt = this._options.clock.now() + LATE_EXECUTION_MILLISECONDS;
  }

  /** Records that an earlier incarnation of this agent may have sent calls that the server has not executed yet. */
  onEarlierAgent(): void {
    this._onCallGivenUp();
  }

  /** Records that the server process has ended, and all calls to it with it. */
  onServerExit(): void {
    this._callGivenUp = false;
    this._isLocked = false;
  }

  /** A refused connection means that nothing was written; after any other failure that is unknown. */
  private _onFailed(error: unknown): void {
    if (errorCode((error as Error).cause) !== CONNECTION_REFUSED) this._onCallGivenUp();
  }

  private _onCallGivenUp(): void {
    this._callGivenUp = true;
    this._safeAt = Number.POSITIVE_INFINITY;
  }
}
