/**
 * One order to the backend server to load staged chunks, until the server has taken it or will not take it any more. The
 * staging area is locked from before the order is sent.
 */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { hasRestarted, isUnchanged, restartLogFields } from './backendIncarnation.js';
import { freshSince, isOrderLost, needsCheck } from './loadDecisions.js';
import type { LayerRange, LocalBackendStatus, OrderOutcome } from './localBackend.js';
import type { StagingArea } from './stagingArea.js';
import type { VersionStage } from './versionStage.js';

/** What an order needs of the stage of its version. */
export type OrderedStage = Pick<VersionStage, 'model' | 'version' | 'announcedAt' | 'stager' | 'verify'>;

export interface LoadOrderOptions {
  stage: OrderedStage;
  stagingArea: StagingArea;
  clock: Clock;
  log: EventLog;
  /** Returns the status of the server, and waits for it while the server does not answer. Rejects once the load has ended. */
  poll: () => Promise<LocalBackendStatus>;
  /** Waits until the next poll. Rejects once the load has ended. */
  pause: () => Promise<void>;
}

/** What the server is to hold after an order. */
export interface OrderedLayers {
  /** The layers to hold; absent for all. */
  layers?: LayerRange;
  /** Whether the server only releases layers, and so takes no staged chunks. */
  isRelease?: boolean;
}

/** An order that the server has taken. */
export interface TakenOrder {
  startedAt: number;
  /** Revision of the server after it. */
  revision: number;
  /** Monotonic milliseconds at which the server had certainly taken it. */
  takenBy: number;
}

export class LoadOrder {
  private readonly _options: LoadOrderOptions;
  /** Status from before the first reading: an order is valid only if the server is unchanged since. */
  private readonly _before: LocalBackendStatus;
  private readonly _ordered: OrderedLayers;
  private _slowChecks = 0;

  constructor(options: LoadOrderOptions, before: LocalBackendStatus, ordered: OrderedLayers = {}) {
    this._options = options;
    this._before = before;
    this._ordered = ordered;
  }

  /** Sends the order, and repeats it if it was lost. Returns undefined if the server has not taken it and never will. */
  async run(): Promise<TakenOrder | undefined> {
    for (;;) {
      const status = await this._options.poll();
      if (!isUnchanged(this._before, status)) return this._changed(status);
      if (this._needsCheck()) {
        if (!(await this._check())) return await this._settle();
        if (this._needsCheck()) this._slowChecks++;
        continue;
      }
      if (!(await this._options.stagingArea.lock())) {
        await this._options.pause();
        continue;
      }
      const taken = await this._send();
      if (taken !== 'lost') return taken;
    }
  }

  private _needsCheck(): boolean {
    const { stage, clock } = this._options;
    if (this._ordered.isRelease) return false;
    return needsCheck(stage.stager.oldestReadingAt, clock.now(), this._slowChecks);
  }

  /**
   * Reads old chunks again and repairs the corrupt ones. Returns false if that is not possible. An order that was sent
   * before has to be settled first: a chunk that is repaired while the server may be taking it can't be judged later.
   */
  private async _check(): Promise<boolean> {
    const { stage, stagingArea, clock, log } = this._options;
    const readingMilliseconds = Math.round(clock.now() - stage.stager.oldestReadingAt);
    log.decision('version.readings-expired', { version: stage.version, readingMilliseconds });
    if (stagingArea.isLocked && (await stage.stager.readOlderThan(freshSince(clock.now()))).length === 0)
      return true;
    if (stagingArea.isLocked && (await this._settle())) return true;
    return await stage.verify(Number.NEGATIVE_INFINITY);
  }

  /** Sends the order once. Returns `lost` if it is to be sent again, and undefined if the server refused it. */
  private async _send(): Promise<TakenOrder | undefined | 'lost'> {
    const { stage, stagingArea, clock, log } = this._options;
    const { revision } = this._before;
    const sentAt = clock.now();
    const readingMilliseconds = Math.round(sentAt - stage.stager.oldestReadingAt);
    const outcome = await stagingArea.order(stage.model, revision, this._ordered.layers);
    const endedAt = clock.now();
    log.state('version.ordered', {
      model: stage.model,
      version: stage.version,
      outcome,
      revision,
      ...this._ordered.layers,
      readingMilliseconds,
      answerMilliseconds: Math.round(endedAt - sentAt),
      milliseconds: Math.round(endedAt - stage.announcedAt),
    });
    if (outcome === 'refused') return await this._settle();
    return outcome === 'unknown' ? await this._awaitEffect(endedAt) : this._answered(outcome);
  }

  private _answered(outcome: Exclude<OrderOutcome, 'refused' | 'unknown'>): TakenOrder {
    const { startedAt, revision } = this._before;
    const takenBy = this._options.clock.now();
    return { startedAt, revision: outcome === 'begun' ? revision + 1 : revision, takenBy };
  }

  /** Waits until an order without an answer has an effect, or is lost. */
  private async _awaitEffect(sentAt: number): Promise<TakenOrder | undefined | 'lost'> {
    for (;;) {
      const status = await this._options.poll();
      if (!isUnchanged(this._before, status)) return this._changed(status);
      if (isOrderLost(this._options.clock.now() - sentAt, status)) return 'lost';
      await this._options.pause();
    }
  }

  /** Waits until an order without an answer can no longer be taken, and unlocks the staging area if it was not. */
  private async _settle(): Promise<TakenOrder | undefined> {
    const { stagingArea } = this._options;
    for (;;) {
      const isUncertain = stagingArea.hasUncertainCall;
      const status = await this._options.poll();
      if (!isUnchanged(this._before, status)) return this._changed(status);
      if (!isUncertain) break;
      await this._options.pause();
    }
    stagingArea.unlock();
    return undefined;
  }

  /**
   * The server has restarted, or it has taken an order: an own one without an answer if the staging area is locked. Any
   * other is left to the caller, since chunks may have been written after the server took it.
   */
  private _changed(status: LocalBackendStatus): TakenOrder | undefined {
    const { clock, log, stagingArea } = this._options;
    const isOwn = stagingArea.isLocked && !hasRestarted(this._before, status);
    log.state(isOwn ? 'version.taken' : 'version.reading-void', restartLogFields(this._before, status));
    if (!isOwn) return undefined;
    return { startedAt: status.startedAt, revision: status.revision, takenBy: clock.now() };
  }
}
