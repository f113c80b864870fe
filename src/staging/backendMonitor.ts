/** Polls the backend server of this box and detects its restarts, its end, and orders that it has taken. */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorCode, errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import { hasRestarted, isUnchanged, restartLogFields } from './backendIncarnation.js';
import type { LocalBackend, LocalBackendStatus } from './localBackend.js';
import { CONNECTION_REFUSED } from './localBackend.js';
import type { StagingArea } from './stagingArea.js';

/** Options of a {@link BackendMonitor}. */
export interface BackendMonitorOptions {
  backend: LocalBackend;
  stagingArea: StagingArea;
  clock: Clock;
  log: EventLog;
  /** The version that the server was ordered to load, for log lines; 0 for none. */
  switchingTo: () => number;
  /** Called after each answer of the server. */
  onStatus: () => void;
  /** Called when the server process has ended: it has restarted, or nothing listens at its address. */
  onExit: () => void;
}

const RETRY_MILLISECONDS = 100;

export class BackendMonitor {
  private readonly _options: BackendMonitorOptions;
  private _status: LocalBackendStatus | undefined;
  private _isGone = false;
  private _polledAt = Number.NEGATIVE_INFINITY;
  private _incarnationSeenAt = Number.POSITIVE_INFINITY;
  private _unchangedAt = Number.NEGATIVE_INFINITY;
  private _ordersTakenAfter = Number.NEGATIVE_INFINITY;

  constructor(options: BackendMonitorOptions) {
    this._options = options;
  }

  /** The last status of the server; undefined if there is none or nothing listens at its address. */
  get status(): LocalBackendStatus | undefined {
    return this._isGone ? undefined : this._status;
  }

  /** Whether the state of the server is known, which includes that nothing listens at its address. */
  get isKnown(): boolean {
    return this._status !== undefined || this._isGone;
  }

  /** Monotonic milliseconds at which the last poll began. */
  get polledAt(): number {
    return this._polledAt;
  }

  /**
   * Monotonic milliseconds since which chunks are known to be read from the current incarnation of the server;
   * infinite if the server reports no start time, since a restart that lost all staged chunks may then go unnoticed.
   */
  get incarnationSeenAt(): number {
    return this._incarnationSeenAt;
  }

  /**
   * Monotonic milliseconds at which the server had certainly not taken its last order yet; minus infinity if that was
   * taken before the first poll.
   */
  get ordersTakenAfter(): number {
    return this._ordersTakenAfter;
  }

  /** Asks the server for its status. Throws a StepError if it does not answer. */
  async poll(): Promise<LocalBackendStatus> {
    const { backend, clock, stagingArea, onStatus } = this._options;
    const polledAt = clock.now();
    this._polledAt = polledAt;
    const status = await backend.status();
    this._noteIncarnation(status);
    stagingArea.onAnswer();
    this._noteOrders(status, polledAt);
    this._status = status;
    this._isGone = false;
    onStatus();
    return status;
  }

  /** Asks the server for its status until it answers. Rejects when `signal` is aborted. */
  async pollUntilAnswered(signal: AbortSignal): Promise<LocalBackendStatus> {
    for (;;) {
      try {
        return await this.poll();
      } catch (error) {
        await this.waitAfterFailure(error, signal);
        signal.throwIfAborted();
      }
    }
  }

  /** Records that a call to the server has failed, and waits until the next try, or until `signal` is aborted. */
  async waitAfterFailure(error: unknown, signal: AbortSignal): Promise<void> {
    this._onUnreachable(error);
    await pause(RETRY_MILLISECONDS, signal);
  }

  /** A refused connection means that the server is gone; a server that does not answer in time may only be busy. */
  private _onUnreachable(error: unknown): void {
    const { log, stagingArea, onExit } = this._options;
    log.decision('backend.unreachable', { reason: errorText(error) });
    if (this._isGone || errorCode((error as Error).cause) !== CONNECTION_REFUSED) return;
    this._isGone = true;
    stagingArea.onServerExit();
    log.state('backend.gone', { versions: [...(this._status?.versions.values() ?? [])] });
    onExit();
  }

  /** Compares `status` with the last one to detect a restart of the server. */
  private _noteIncarnation(status: LocalBackendStatus): void {
    const { clock, stagingArea, log, switchingTo, onExit } = this._options;
    const former = this._status;
    const isRestarted = former !== undefined && hasRestarted(former, status);
    if (isRestarted) {
      log.state('backend.started-again', { ...restartLogFields(former, status), switchingTo: switchingTo() });
      stagingArea.onServerExit();
    }
    const hasJustStarted = status.revision === 0 && status.versions.size === 0;
    if (former === undefined && !hasJustStarted) stagingArea.onEarlierAgent();
    if (status.startedAt === 0) this._incarnationSeenAt = Number.POSITIVE_INFINITY;
    else if (isRestarted || former === undefined) this._incarnationSeenAt = clock.now();
    if (isRestarted) onExit();
  }

  private _noteOrders(status: LocalBackendStatus, polledAt: number): void {
    if (this._status && !isUnchanged(this._status, status)) this._ordersTakenAfter = this._unchangedAt;
    this._unchangedAt = polledAt;
  }
}
