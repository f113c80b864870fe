/** Brings the backend server of this box to the target version, and retries until the server serves it. */
import type { ConfirmedLoad } from '../protocol/boxMessages.js';
import { WakeableTimer } from '../utils/wakeableTimer.js';
import { BackendMonitor } from './backendMonitor.js';
import { pollInterval, roundInterval } from './pollInterval.js';
import type { LocalBackend, LocalBackendStatus } from './localBackend.js';
import { ServedConfirmation } from './servedConfirmation.js';
import type { StageQueue } from './stageQueue.js';
import type { StagingArea } from './stagingArea.js';
import type { SwitchPreparationOptions } from './switchPreparation.js';
import { SwitchPreparation, isNearlyComplete } from './switchPreparation.js';
import type { SwitchPhase } from './switchTurn.js';
import type { LoadResult } from './versionLoad.js';
import { VersionLoad } from './versionLoad.js';
import type { VersionStage } from './versionStage.js';

/** Options of a {@link VersionReconciler}. */
export interface VersionReconcilerOptions extends SwitchPreparationOptions {
  backend: LocalBackend;
  stagingArea: StagingArea;
  stages: StageQueue;
  /** Called when the phase of this box or the status of its backend server may have changed. */
  onChange: () => void;
  /** Called after this process was paused. */
  onPaused: (milliseconds: number) => void;
  /** Called when the weights in service have been confirmed. */
  onConfirmed: (load: ConfirmedLoad) => void;
  /** Called when nothing is known of the weights in service; {@link VersionReconciler.noteConfirmed} may follow. */
  onUnconfirmed: () => void;
}

/** A round that begins this much later than planned shows that the process was paused. */
const PAUSE_MILLISECONDS = 500;

export class VersionReconciler {
  private readonly _options: VersionReconcilerOptions;
  private readonly _stopped = new AbortController();
  private readonly _timer = new WakeableTimer();
  private readonly _monitor: BackendMonitor;
  private readonly _confirmation: ServedConfirmation;
  private readonly _preparation: SwitchPreparation;
  private _load: VersionLoad | undefined;
  private readonly _loadCounts = new Map<LoadResult, number>();
  /** Monotonic milliseconds at which the last load ended; the next one does not rely on what that one read. */
  private _loadEndedAt = Number.NEGATIVE_INFINITY;
  /** The status whose version is doubtful and can't be loaded again. */
  private _doubtful: LocalBackendStatus | undefined;
  private _lastServed = 0;

  constructor(options: VersionReconcilerOptions) {
    this._options = options;
    this._confirmation = new ServedConfirmation(() => options.stages.model);
    this._preparation = new SwitchPreparation(options);
    this._monitor = new BackendMonitor({
      ...options,
      switchingTo: () => (this._isLoading ? this._load!.stage.version : 0),
      onStatus: () => this._onStatus(),
      onExit: () => this._onExit(),
    });
  }

  /** The last status of the backend server; undefined if there is none or nothing listens at its address. */
  get status(): LocalBackendStatus | undefined {
    return this._monitor.status;
  }

  /** Whether the state of the backend server is known, which includes that nothing listens at its address. */
  get knowsBackend(): boolean {
    return this._monitor.isKnown;
  }

  /** The version that the server has loaded; 0 if there is none. */
  get servedVersion(): number {
    return this.status?.versions.get(this._options.stages.model) ?? 0;
  }

  /** The load in service, if its weights are confirmed: requests may be sent to it. */
  get confirmedLoad(): ConfirmedLoad | undefined {
    return this.status && this._confirmation.loadOf(this.status);
  }

  /** The version that this box is to serve next; if there is none, the newer of the served and the target version. */
  get nextVersion(): number {
    return this._nextStage?.version ?? Math.max(this.servedVersion, this._options.stages.targetVersion);
  }

  /** Number of loads that have ended with this result. */
  loadCount(result: LoadResult): number {
    return this._loadCounts.get(result) ?? 0;
  }

  get switchPhase(): SwitchPhase {
    if (this._isOutOfService) return 'switching';
    const next = this._nextStage;
    if (next && next.version === this._preparation.version) return 'preparing';
    if (next) return isNearlyComplete(next) ? 'staged' : 'staging';
    return this.servedVersion >= this._options.stages.targetVersion ? 'serving' : 'staging';
  }

  start(): void {
    void this._run();
  }

  stop(): void {
    this._stopped.abort();
    this._load?.abandon();
    this.wake();
  }

  /** Starts the next round now; to be called when there is a new target version. */
  wake(): void {
    this._timer.wake();
  }

  /** Adds what another process remembers of the weights in service, which an earlier incarnation of this agent confirmed. */
  noteConfirmed(load: ConfirmedLoad): void {
    if (!this._confirmation.add(load)) return;
    this._options.onChange();
    this.wake();
  }

  /** Whether the server takes no requests: it is about to load, loads, or serves weights that are not confirmed. */
  private get _isOutOfService(): boolean {
    return this._isLoading || (this.servedVersion > 0 && !this.confirmedLoad);
  }

  /** Whether a load has got beyond the check of the staged chunks. */
  private get _isLoading(): boolean {
    return this._load !== undefined && this._load.step !== 'checking';
  }

  /**
   * The stage to continue with: the one that is being loaded, then the oldest one newer than the served one; see
   * {@link VersionReconciler._nextStageOfEmptyServer} for a server without a version.
   */
  private get _nextStage(): VersionStage | undefined {
    const { stages } = this._options;
    const loading = this._load && stages.stageOf(this._load.stage.version);
    if (loading) return loading;
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
        if (this._isPollDue()) await this._monitor.poll();
        await this._reconcile();
      } catch (error) {
        await this._monitor.waitAfterFailure(error, this._stopped.signal);
      }
      const sincePoll = this._options.clock.now() - this._monitor.polledAt;
      const wait = roundInterval(this.switchPhase, this.status, sincePoll);
      if (!this._stopped.signal.aborted) await this._wait(wait);
    }
  }

  private async _wait(milliseconds: number): Promise<void> {
    const { clock } = this._options;
    const dueAt = clock.now() + milliseconds;
    await this._timer.wait(milliseconds);
    const paused = clock.now() - dueAt;
    if (paused >= PAUSE_MILLISECONDS) this._onPaused(paused);
  }

  /** Gives up a turn that has not got beyond preparing: the other boxes may have taken theirs meanwhile. */
  private _onPaused(milliseconds: number): void {
    const { log, onPaused } = this._options;
    const { version } = this._preparation;
    log.state('agent.paused', { milliseconds: Math.round(milliseconds), preparing: version });
    onPaused(milliseconds);
    this._preparation.onPaused();
  }

  /** A box that waits for its turn checks its peers often, but polls its server only as often as usual. */
  private _isPollDue(): boolean {
    const interval = pollInterval(this.switchPhase, this.status);
    return this._options.clock.now() - this._monitor.polledAt >= interval;
  }

  private _onStatus(): void {
    const { stages, log, onChange } = this._options;
    const { status, servedVersion } = this;
    if (status) this._confirmation.keepOnly(status);
    if (servedVersion !== this._lastServed)
      log.state('version.serving', { version: servedVersion, before: this._lastServed });
    this._lastServed = servedVersion;
    if (this._preparation.version > 0 && servedVersion >= this._preparation.version)
      this._preparation.giveUp();
    stages.dropOlderThan(servedVersion);
    onChange();
  }

  /** Ends the turn and the load. Staged chunks are read back before each order anyway. */
  private _onExit(): void {
    this._load?.abandon();
    this._preparation.giveUp();
  }

  private async _reconcile(): Promise<void> {
    const { stages, stagingArea } = this._options;
    stages.dropSuperseded();
    if (!this.knowsBackend || this._load || (await this._confirmServed())) return;
    // It was locked to confirm the version in service, which is no longer needed or possible.
    stagingArea.unlock();
    const stage = this._nextStage;
    if (!stage) return;
    if (!(await stage.stager.acquireStagingArea())) return;
    if (this.confirmedLoad && !this._preparation.isPrepared(stage, this.status?.running)) return;
    if (stage.complete) this._startLoad(stage);
  }

  /**
   * Confirms the version in service if nothing is known of it: an order may have been taken that an earlier incarnation
   * of this agent sent. Returns whether that has to be waited for. While a newer version is wanted, nobody else has the
   * chunks of the one in service, and they are replaced by those of the newer one.
   */
  private async _confirmServed(): Promise<boolean> {
    const { stages, stagingArea } = this._options;
    const { status, servedVersion } = this;
    if (!status || servedVersion === 0 || this.confirmedLoad) return false;
    if (this._doubtful?.startedAt === status.startedAt && this._doubtful.revision === status.revision)
      return false;
    this._options.onUnconfirmed();
    if (stages.targetVersion > servedVersion) return false;
    const stage = stages.stageOf(servedVersion);
    if (!(await stagingArea.lock()) || !stage?.complete) return true;
    const isUnwritten = stagingArea.lastWriteAt <= this._monitor.ordersTakenAfter;
    this._runLoad(stage, (load) => load.confirmServed(status, isUnwritten));
    return true;
  }

  private _startLoad(stage: VersionStage): void {
    const { status } = this;
    const since = Math.max(this._monitor.incarnationSeenAt, this._loadEndedAt);
    if (status) this._runLoad(stage, (load) => load.run(status, since));
  }

  private _runLoad(stage: VersionStage, work: (load: VersionLoad) => Promise<LoadResult>): void {
    const { onChange, onConfirmed } = this._options;
    const load = new VersionLoad({
      ...this._options,
      stage,
      poll: async (signal) => await this._monitor.pollUntilAnswered(signal),
      isUrgent: () => !this.confirmedLoad || this._preparation.isLate(stage),
      onChange,
      onConfirmed: (confirmed) => {
        this.noteConfirmed(confirmed);
        onConfirmed(confirmed);
      },
    });
    this._load = load;
    void work(load).then((result) => this._onLoadEnd(load, result));
  }

  private _onLoadEnd({ stage }: VersionLoad, result: LoadResult): void {
    const { clock, log, onChange } = this._options;
    const { version } = stage;
    this._loadEndedAt = clock.now();
    log.state('version.load-ended', { version, result, served: this.servedVersion });
    this._loadCounts.set(result, this.loadCount(result) + 1);
    if (result === 'doubtful') this._doubtful = this.status;
    this._load = undefined;
    onChange();
  }
}
