/** Brings the backend server of this box to the target version, and retries until the server serves it. */
import type { Member } from '../protocol/rolloutMessages.js';
import { LAST_SEND_MARGIN_MILLISECONDS } from '../protocol/versionMargins.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorCode, errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import { WakeableTimer } from '../utils/wakeableTimer.js';
import { hasRestarted, isUnchanged, restartLogFields } from './backendIncarnation.js';
import { switchOrder } from './originFetchSchedule.js';
import { SWITCHING_POLL_MILLISECONDS, pollInterval, roundInterval } from './pollInterval.js';
import type { LocalBackend, LocalBackendStatus } from './localBackend.js';
import { CONNECTION_REFUSED } from './localBackend.js';
import type { StageQueue } from './stageQueue.js';
import type { StagingArea } from './stagingArea.js';
import type { SwitchPeer, SwitchPhase } from './switchTurn.js';
import { PREPARING_MILLISECONDS, maySwitch, mayOrder } from './switchTurn.js';
import type { VersionStage } from './versionStage.js';

/** Options of a {@link VersionReconciler}. */
export interface VersionReconcilerOptions {
  box: string;
  backend: LocalBackend;
  stagingArea: StagingArea;
  stages: StageQueue;
  clock: Clock;
  log: EventLog;
  versionMilliseconds: number;
  members: () => readonly Member[];
  /** Returns the phases of the other boxes with respect to `version`. */
  peers: (version: number) => SwitchPeer[];
  /** Called when the phase of this box or the status of its backend server may have changed. */
  onChange: () => void;
}

/** An order is repeated if it has had no effect for this long although the backend server is idle. */
const IDLE_ORDER_TIMEOUT_MILLISECONDS = 300;
/** An order is repeated if it has had no effect for this long while the backend server is busy. */
const BUSY_ORDER_TIMEOUT_MILLISECONDS = 6_000;
const RETRY_MILLISECONDS = 100;
/** A box that still lacks chunks after preparing for this long gives up its turn. */
const MAX_PREPARATION_MILLISECONDS = 1_500;

export class VersionReconciler {
  private readonly _options: VersionReconcilerOptions;
  private readonly _stopped = new AbortController();
  private readonly _timer = new WakeableTimer();
  private _status: LocalBackendStatus | undefined;
  /**
   * Monotonic milliseconds since which chunks are known to be read from the current incarnation of the backend server;
   * infinite if the server reports no start time, since a restart that lost all staged chunks may then go unnoticed.
   */
  private _incarnationSeenAt = Number.POSITIVE_INFINITY;
  /** Whether nothing listens at the address of the backend server. */
  private _isGone = false;
  private _switchingTo = 0;
  /** The version for which this box is preparing, 0 for none. */
  private _preparingFor = 0;
  private _preparingSince = 0;
  private _polledAt = Number.NEGATIVE_INFINITY;
  private _orderedAt = 0;

  constructor(options: VersionReconcilerOptions) {
    this._options = options;
  }

  /** The last status of the backend server; undefined if there is none or nothing listens at its address. */
  get status(): LocalBackendStatus | undefined {
    return this._isGone ? undefined : this._status;
  }

  /** Whether the state of the backend server is known, which includes that nothing listens at its address. */
  get knowsBackend(): boolean {
    return this._status !== undefined || this._isGone;
  }

  /** The version in service; 0 if there is none. */
  get servedVersion(): number {
    const model = this._options.stages.model;
    return this.status?.versions.get(model) ?? 0;
  }

  /** The version that this box is to serve next; if there is none, the newer of the served and the target version. */
  get nextVersion(): number {
    return this._nextStage?.version ?? Math.max(this.servedVersion, this._options.stages.targetVersion);
  }

  get switchPhase(): SwitchPhase {
    if (this._switchingTo > 0) return 'switching';
    const next = this._nextStage;
    if (next && next.version === this._preparingFor) return 'preparing';
    if (next) return this._isNearlyComplete(next) ? 'staged' : 'staging';
    return this.servedVersion >= this._options.stages.targetVersion ? 'serving' : 'staging';
  }

  start(): void {
    void this._run();
  }

  stop(): void {
    this._stopped.abort();
    this.wake();
  }

  /** Starts the next round now; to be called when there is a new target version. */
  wake(): void {
    this._timer.wake();
  }

  /**
   * The stage to continue with: the ordered version until it serves, then the oldest one newer than the served one;
   * see {@link VersionReconciler._nextStageOfEmptyServer} for a server without a version.
   */
  private get _nextStage(): VersionStage | undefined {
    const { stages } = this._options;
    const ordered = stages.stageOf(this._switchingTo);
    if (ordered) return ordered;
    return this.servedVersion > 0 ? stages.nextAfter(this.servedVersion) : this._nextStageOfEmptyServer;
  }

  /**
   * The stage for a server without a version: the newest complete one. A restarted server that was brought to each
   * complete version in turn got three orders instead of one, each with 0.3 s without service. While a call without
   * an answer may still be executed, its version keeps the staging area.
   */
  private get _nextStageOfEmptyServer(): VersionStage | undefined {
    const { stages, stagingArea } = this._options;
    const ownerStage = stagingArea.hasUncertainCall ? stages.stageOf(stagingArea.owner) : undefined;
    if (ownerStage?.complete) return ownerStage;
    return stages.newestComplete ?? stages.nextAfter(0);
  }

  private async _run(): Promise<void> {
    while (!this._stopped.signal.aborted) {
      try {
        if (this._isPollDue()) await this._poll();
        await this._reconcile();
      } catch (error) {
        this._onUnreachable(error);
        await pause(RETRY_MILLISECONDS, this._stopped.signal);
      }
      const sincePoll = this._options.clock.now() - this._polledAt;
      const wait = roundInterval(this.switchPhase, this._status, sincePoll);
      if (!this._stopped.signal.aborted) await this._timer.wait(wait);
    }
  }

  /** A box that waits for its turn checks its peers often, but polls its server only as often as usual. */
  private _isPollDue(): boolean {
    const interval = pollInterval(this.switchPhase, this._status);
    return this._options.clock.now() - this._polledAt >= interval;
  }

  /** A refused connection means that the server is gone; a server that does not answer in time may only be busy. */
  private _onUnreachable(error: unknown): void {
    const { log, onChange } = this._options;
    log.decision('backend.unreachable', { reason: errorText(error) });
    if (this._isGone || errorCode((error as Error).cause) !== CONNECTION_REFUSED) return;
    this._isGone = true;
    this._options.stagingArea.onServerExit();
    log.state('backend.gone', { version: this._status?.versions.get(this._options.stages.model) });
    onChange();
  }

  private async _poll(): Promise<void> {
    this._polledAt = this._options.clock.now();
    const before = this.servedVersion;
    const status = await this._options.backend.status();
    this._options.stagingArea.onAnswer();
    this._detectRestart(status);
    this._status = status;
    this._isGone = false;
    const served = this.servedVersion;
    if (served !== before) this._options.log.state('version.serving', { version: served, before });
    if (this._switchingTo > 0 && served >= this._switchingTo) this._switchingTo = 0;
    if (served >= this._preparingFor) this._preparingFor = 0;
    this._options.stages.dropOlderThan(served);
    this._options.onChange();
  }

  /** Compares `status` with the last one to detect a restart of the backend server. */
  private _detectRestart(status: LocalBackendStatus): void {
    const former = this._status;
    const isRestarted = former !== undefined && hasRestarted(former, status);
    if (isRestarted) this._onRestart(former, status);
    if (status.startedAt === 0) this._incarnationSeenAt = Number.POSITIVE_INFINITY;
    else if (isRestarted || former === undefined) this._incarnationSeenAt = this._options.clock.now();
  }

  /** Resets the turn and the order. Staged chunks are read back before each order anyway. */
  private _onRestart(former: LocalBackendStatus, status: LocalBackendStatus): void {
    const { log, stagingArea } = this._options;
    log.state('backend.started-again', {
      ...restartLogFields(former, status),
      switchingTo: this._switchingTo,
    });
    stagingArea.onServerExit();
    this._switchingTo = 0;
    this._preparingFor = 0;
  }

  private async _reconcile(): Promise<void> {
    this._options.stages.dropSuperseded();
    const stage = this._nextStage;
    if (!stage) return;
    if (!(await stage.acquireStagingArea())) return;
    if (this._switchingTo > 0 && !this._isOrderLost()) return;
    if (this.servedVersion > 0 && !this._isPrepared(stage)) return;
    if (stage.complete) await this._switch(stage);
  }

  /** Whether the order may be sent: preparation is over, no requests are running, or there is no time left. */
  private _isPrepared(stage: VersionStage): boolean {
    const { clock, log, onChange } = this._options;
    if (this._preparingFor !== stage.version) {
      if (!this._isNearlyComplete(stage) || !this._mayBegin(stage)) return false;
      this._preparingFor = stage.version;
      this._preparingSince = clock.now();
      log.state('version.preparing', { version: stage.version, running: this._status?.running });
      onChange();
    }
    const elapsed = clock.now() - this._preparingSince;
    if (!stage.complete && elapsed > MAX_PREPARATION_MILLISECONDS) {
      this._preparingFor = 0;
      onChange();
      return false;
    }
    return this._status?.running === 0 || elapsed >= PREPARING_MILLISECONDS || this._isLate(stage);
  }

  private _isNearlyComplete(stage: VersionStage): boolean {
    return stage.expectedMilliseconds < PREPARING_MILLISECONDS;
  }

  /** Whether it is too late for new requests to begin on the version in service. */
  private _isLate(stage: VersionStage): boolean {
    return this._leftMilliseconds(stage) <= LAST_SEND_MARGIN_MILLISECONDS;
  }

  /** Milliseconds until the version deadline, after which no request may begin on a version older than this stage's. */
  private _leftMilliseconds(stage: VersionStage): number {
    const { clock, versionMilliseconds } = this._options;
    return stage.announcedAt + versionMilliseconds - clock.now();
  }

  /** Whether the last order has had no effect for so long that it has to be repeated. */
  private _isOrderLost(): boolean {
    const waited = this._options.clock.now() - this._orderedAt;
    return waited > (this._status?.busy ? BUSY_ORDER_TIMEOUT_MILLISECONDS : IDLE_ORDER_TIMEOUT_MILLISECONDS);
  }

  private _mayBegin(stage: VersionStage): boolean {
    const { box, members, peers } = this._options;
    return maySwitch({
      box,
      peers: peers(stage.version),
      order: switchOrder(stage.exchange.rollout, members()),
      leftMilliseconds: this._leftMilliseconds(stage),
    });
  }

  private async _switch(stage: VersionStage): Promise<void> {
    const { stagingArea, clock, log, onChange } = this._options;
    this._switchingTo = stage.version;
    this._orderedAt = clock.now();
    const isEmpty = this.servedVersion === 0;
    if (isEmpty) onChange();
    const verifyStartedAt = clock.now();
    const isVerified = await stage.verify(this._incarnationSeenAt);
    const verifyMilliseconds = Math.round(clock.now() - verifyStartedAt);
    if (!isVerified) {
      this._switchingTo = 0;
      log.state('version.not-whole', { version: stage.version, verifyMilliseconds });
      return;
    }
    onChange();
    const status = await this._statusToOrder(isEmpty || this._isLate(stage));
    if (!this._isReadingValid(status)) {
      this._switchingTo = 0;
      return;
    }
    const { revision } = status;
    const sentAt = clock.now();
    const outcome = await stagingArea.order(stage.model, revision);
    this._orderedAt = clock.now();
    log.state('version.ordered', {
      model: stage.model,
      version: stage.version,
      outcome,
      revision,
      verifyMilliseconds,
      readingMilliseconds: Math.round(sentAt - stage.oldestReadingAt),
      answerMilliseconds: Math.round(this._orderedAt - sentAt),
      milliseconds: Math.round(clock.now() - stage.announcedAt),
    });
    if (outcome === 'refused') this._switchingTo = 0;
  }

  /**
   * Whether the chunks that were read back are still staged: the server has neither restarted nor accepted an order
   * since before the reading. The order has to carry the revision from before the reading, since a later one would not
   * rule out a change in between; that of `status` is then the same.
   */
  private _isReadingValid(status: LocalBackendStatus): boolean {
    const before = this._status!;
    if (isUnchanged(before, status)) return true;
    this._options.log.state('version.reading-void', restartLogFields(before, status));
    return false;
  }

  /** Waits until the order may be sent, and returns the status of the server at that moment. */
  private async _statusToOrder(isUnused: boolean): Promise<LocalBackendStatus> {
    const { backend, clock } = this._options;
    const noticedAt = clock.now();
    for (;;) {
      this._stopped.signal.throwIfAborted();
      const status = await backend.status();
      const noticeMilliseconds = clock.now() - noticedAt;
      if (isUnused || mayOrder({ noticeMilliseconds, waiting: status.queued })) return status;
      await pause(SWITCHING_POLL_MILLISECONDS, this._stopped.signal);
    }
  }
}
