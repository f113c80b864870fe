/** Brings the backend server of this box to the wanted versions, again and again until it is there. */
import type { Member } from '../protocol/rolloutMessages.js';
import { LAST_SEND_MARGIN_MILLISECONDS } from '../protocol/versionMargins.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorCode, errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import { hasRestarted, isUnchanged, restartLogFields } from './backendRun.js';
import { switchOrder } from './downloadSchedule.js';
import { POLL_MILLISECONDS, SWITCHING_POLL_MILLISECONDS, pollInterval } from './pollInterval.js';
import type { LocalBackend, LocalBackendStatus } from './localBackend.js';
import { CONNECTION_REFUSED } from './localBackend.js';
import type { StageQueue } from './stageQueue.js';
import type { StagingArea } from './stagingArea.js';
import type { SwitchPeer, SwitchStage } from './switchTurn.js';
import { PREPARING_MILLISECONDS, maySwitch, mayOrder } from './switchTurn.js';
import type { VersionStage } from './versionStage.js';

/** What the reconciler works with. */
export interface VersionReconcilerOptions {
  box: string;
  backend: LocalBackend;
  stagingArea: StagingArea;
  stages: StageQueue;
  clock: Clock;
  log: EventLog;
  versionMilliseconds: number;
  members: () => readonly Member[];
  /** Where the other boxes stand on the way to `version`. */
  peers: (version: number) => SwitchPeer[];
  /** The stage of this box, or what its backend server says, has changed. */
  onChange: () => void;
}

/** An order that has shown no effect for so long, though the backend server does nothing, is given again. */
const IDLE_ORDER_MILLISECONDS = 300;
/** The same while the backend server is busy. */
const BUSY_ORDER_MILLISECONDS = 6_000;
const RETRY_MILLISECONDS = 100;
/** A box that prepares and is not whole after this long gives its turn back. */
const LONGEST_PREPARATION_MILLISECONDS = 1_500;

export class VersionReconciler {
  private readonly _options: VersionReconcilerOptions;
  private readonly _stopped = new AbortController();
  private _status: LocalBackendStatus | undefined;
  /**
   * Monotonic milliseconds from which on what is read from the backend server is of its present life; infinite
   * where it does not tell when it started, so that a loss of all that lay there may have gone unnoticed.
   */
  private _lifeSeenAt = Number.POSITIVE_INFINITY;
  /** Whether nothing listens at the address of the backend server. */
  private _isGone = false;
  private _switchingTo = 0;
  /** The version whose turn this box has taken, 0 for none. */
  private _preparingFor = 0;
  private _preparingSince = 0;
  private _polledAt = Number.NEGATIVE_INFINITY;
  private _orderedAt = 0;

  constructor(options: VersionReconcilerOptions) {
    this._options = options;
  }

  /** What the backend server last said; undefined while it has said nothing or is not there. */
  get status(): LocalBackendStatus | undefined {
    return this._isGone ? undefined : this._status;
  }

  /** Whether anything is known of the backend server, be it that it is not there. */
  get knowsBackend(): boolean {
    return this._status !== undefined || this._isGone;
  }

  /** The version in service, 0 when there is none. */
  get servedVersion(): number {
    const model = this._options.stages.model;
    return this.status?.versions.get(model) ?? 0;
  }

  /** The version on the way to which this box is, or the one in service. */
  get nextVersion(): number {
    return this._next?.version ?? Math.max(this.servedVersion, this._options.stages.wantedVersion);
  }

  get switchStage(): SwitchStage {
    if (this._switchingTo > 0) return 'switching';
    const next = this._next;
    if (next && next.version === this._preparingFor) return 'preparing';
    if (next) return this._isNearlyWhole(next) ? 'staged' : 'staging';
    return this.servedVersion >= this._options.stages.wantedVersion ? 'serving' : 'staging';
  }

  start(): void {
    void this._run();
  }

  stop(): void {
    this._stopped.abort();
  }

  /**
   * The version that was ordered, until it serves; else where a server without any goes, or the lowest of the newer
   * ones.
   */
  private get _next(): VersionStage | undefined {
    const { stages } = this._options;
    const ordered = stages.stageOf(this._switchingTo);
    if (ordered) return ordered;
    return this.servedVersion > 0 ? stages.nextAfter(this.servedVersion) : this._nextOfEmpty;
  }

  /**
   * The newest version that is whole: a server that had started again climbed all that were, three orders in place
   * of one, each with 0.3 s without service. A call that got no answer keeps the place for its version until it
   * cannot be carried out any more.
   */
  private get _nextOfEmpty(): VersionStage | undefined {
    const { stages, stagingArea } = this._options;
    const held = stagingArea.hasUncertainCall ? stages.stageOf(stagingArea.owner) : undefined;
    if (held?.complete) return held;
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
      const isFarFromSwitching = this.switchStage === 'serving' || this.switchStage === 'staging';
      const wait = isFarFromSwitching ? POLL_MILLISECONDS : SWITCHING_POLL_MILLISECONDS;
      await pause(wait, this._stopped.signal);
    }
  }

  /**
   * A box that waits for its turn looks at its peers often, and at its backend server as seldom as one that serves.
   */
  private _isPollDue(): boolean {
    const interval = pollInterval(this.switchStage, this._status);
    return this._options.clock.now() - this._polledAt >= interval;
  }

  /** Where nothing listens nothing is served; one that does not answer in time may only be busy. */
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
    this._noteLife(status);
    this._status = status;
    this._isGone = false;
    const served = this.servedVersion;
    if (served !== before) this._options.log.state('version.serving', { version: served, before });
    if (this._switchingTo > 0 && served >= this._switchingTo) this._switchingTo = 0;
    if (served >= this._preparingFor) this._preparingFor = 0;
    this._options.stages.dropOlderThan(served);
    this._options.onChange();
  }

  /** Notes which life of the backend server `status` is the word of; it becomes the last word after that. */
  private _noteLife(status: LocalBackendStatus): void {
    const former = this._status;
    const isAnother = former !== undefined && hasRestarted(former, status);
    if (isAnother) this._onAnotherLife(former, status);
    if (status.startedAt === 0) this._lifeSeenAt = Number.POSITIVE_INFINITY;
    else if (isAnother || former === undefined) this._lifeSeenAt = this._options.clock.now();
  }

  /** Forgets the turn and the order of the former life; what lies staged is read back before each order. */
  private _onAnotherLife(former: LocalBackendStatus, status: LocalBackendStatus): void {
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
    const stage = this._next;
    if (!stage) return;
    if (!(await stage.acquireStagingArea())) return;
    if (this._switchingTo > 0 && !this._orderIsLost()) return;
    if (this.servedVersion > 0 && !this._isPrepared(stage)) return;
    if (stage.complete) await this._switch(stage);
  }

  /** Whether the server may be ordered now: it has had its time without new requests, or there is none left. */
  private _isPrepared(stage: VersionStage): boolean {
    const { clock, log, onChange } = this._options;
    if (this._preparingFor !== stage.version) {
      if (!this._isNearlyWhole(stage) || !this._mayBegin(stage)) return false;
      this._preparingFor = stage.version;
      this._preparingSince = clock.now();
      log.state('version.preparing', { version: stage.version, running: this._status?.running });
      onChange();
    }
    const prepared = clock.now() - this._preparingSince;
    if (!stage.complete && prepared > LONGEST_PREPARATION_MILLISECONDS) {
      this._preparingFor = 0;
      onChange();
      return false;
    }
    return this._status?.running === 0 || prepared >= PREPARING_MILLISECONDS || this._isLate(stage);
  }

  private _isNearlyWhole(stage: VersionStage): boolean {
    return stage.expectedMilliseconds < PREPARING_MILLISECONDS;
  }

  /** Whether requests may no longer begin on the version in service. */
  private _isLate(stage: VersionStage): boolean {
    return this._leftMilliseconds(stage) <= LAST_SEND_MARGIN_MILLISECONDS;
  }

  /** Milliseconds until no request may begin on an older version than that of `stage`. */
  private _leftMilliseconds(stage: VersionStage): number {
    const { clock, versionMilliseconds } = this._options;
    return stage.announcedAt + versionMilliseconds - clock.now();
  }

  /** Whether an order that was given has had no effect, so that it has to be given again. */
  private _orderIsLost(): boolean {
    const waited = this._options.clock.now() - this._orderedAt;
    return waited > (this._status?.busy ? BUSY_ORDER_MILLISECONDS : IDLE_ORDER_MILLISECONDS);
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
    const beganAt = clock.now();
    const whole = await stage.verify(this._lifeSeenAt);
    const verifyMilliseconds = Math.round(clock.now() - beganAt);
    if (!whole) {
      this._switchingTo = 0;
      log.state('version.not-whole', { version: stage.version, verifyMilliseconds });
      return;
    }
    onChange();
    const status = await this._statusToOrder(isEmpty || this._isLate(stage));
    if (!this._isAsRead(status)) {
      this._switchingTo = 0;
      return;
    }
    const { revision } = status;
    const outcome = await stagingArea.order(stage.model, revision);
    this._orderedAt = clock.now();
    log.state('version.ordered', {
      model: stage.model,
      version: stage.version,
      outcome,
      revision,
      verifyMilliseconds,
      milliseconds: Math.round(clock.now() - stage.announcedAt),
    });
    if (outcome === 'refused') this._switchingTo = 0;
  }

  /**
   * Whether what was read back still lies before the same life of the server: its revision of before the reading
   * binds the order, since one that is read after it binds nothing.
   */
  private _isAsRead(status: LocalBackendStatus): boolean {
    const before = this._status!;
    if (isUnchanged(before, status)) return true;
    this._options.log.state('version.reading-void', restartLogFields(before, status));
    return false;
  }

  /** Waits until the server may be ordered, and returns what it says of itself then. */
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
