/** The versions that this box is loading, oldest first. */
import type { Member } from '../protocol/rolloutMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { ManifestReader } from './manifestReader.js';
import type { VersionStageOptions } from './versionStage.js';
import { rolloutName } from './stagePlan.js';
import { VersionStage } from './versionStage.js';
import { isWorthFinishing } from './worthFinishing.js';

/** A version to load and serve. */
export interface TargetVersion {
  model: string;
  version: number;
  /** Monotonic milliseconds at which it was announced. */
  announcedAt: number;
}

/** Options of a {@link StageQueue}. */
export interface StageQueueOptions extends Pick<
  VersionStageOptions,
  'services' | 'stagingArea' | 'staged' | 'clock' | 'log' | 'bytesPerSecond'
> {
  manifests: ManifestReader;
  log: EventLog;
  members: () => readonly Member[];
  /** Time from its announcement within which a version has to replace older ones; sets the version deadline. */
  versionMilliseconds: number;
  /** Called when a stage has been opened. */
  onOpened: () => void;
}

export class StageQueue {
  private readonly _options: StageQueueOptions;
  private _stages: VersionStage[] = [];
  private _target: TargetVersion | undefined;
  private _manifestReading = new AbortController();
  /** Whether no stage has been opened yet: only the first one adopts chunks of an earlier incarnation. */
  private _isFirst = true;

  constructor(options: StageQueueOptions) {
    this._options = options;
  }

  /** The model that this box serves; empty while unknown. */
  get model(): string {
    return this._target?.model ?? '';
  }

  /** The target version; 0 while unknown. */
  get targetVersion(): number {
    return this._target?.version ?? 0;
  }

  get stages(): readonly VersionStage[] {
    return this._stages;
  }

  /** Whether a version arrives so slowly that the link must be slow. */
  get isSlow(): boolean {
    return this._stages.some((stage) => stage.isSlow);
  }

  /** Returns the oldest stage of a version newer than `version`. */
  nextAfter(version: number): VersionStage | undefined {
    return this._stages.find((stage) => stage.version > version);
  }

  get newestComplete(): VersionStage | undefined {
    return this._stages.filter((stage) => stage.complete).at(-1);
  }

  stageOf(version: number): VersionStage | undefined {
    return this._stages.find((stage) => stage.version === version);
  }

  findByRollout(rollout: string): VersionStage | undefined {
    return this._stages.find((stage) => stage.exchange.rollout === rollout);
  }

  /** Sets the target if it is newer than the current one, and opens a stage for it. Returns whether it is newer. */
  setTarget(target: TargetVersion): boolean {
    if (this._target && target.version <= this._target.version) return false;
    this._target = target;
    this._manifestReading.abort();
    this._manifestReading = new AbortController();
    this._options.log.state('version.wanted', { model: target.model, version: target.version });
    this.dropSuperseded();
    void this._open(target, this._manifestReading.signal);
    return true;
  }

  /** Drops incomplete versions that are not worth finishing now that there is a newer target. */
  dropSuperseded(): void {
    for (const stage of this._stages) {
      if (!stage.complete && !this._isWorthFinishing(stage)) this._drop(stage);
    }
  }

  /** Drops versions older than `version`, which is in service. */
  dropOlderThan(version: number): void {
    for (const stage of this._stages) {
      if (stage.version < version) this._drop(stage);
    }
  }

  /** Passes the current members of the service to all stages. */
  updateMembers(): void {
    for (const stage of this._stages) stage.updateMembers(this._options.members());
  }

  close(): void {
    this._manifestReading.abort();
    for (const stage of this._stages) this._drop(stage);
  }

  private _isWorthFinishing(stage: VersionStage): boolean {
    const target = this._target;
    if (!target || target.version <= stage.version) return true;
    const { clock, versionMilliseconds } = this._options;
    const newer = this._stages.find((other) => other.version === target.version);
    return isWorthFinishing({
      announcedAt: stage.announcedAt,
      newerAnnouncedAt: target.announcedAt,
      now: clock.now(),
      switchMilliseconds: versionMilliseconds,
      copyMilliseconds: stage.copyMilliseconds,
      missingMilliseconds: stage.copyMilliseconds * (1 - stage.heldShare),
      availableShare: stage.availableShare,
      newerAvailableShare: newer?.availableShare ?? 0,
    });
  }

  /** Whether no older version is being fetched from other boxes, so that `version` may use the link. */
  private _mayFetchFromPeers(version: number): boolean {
    return this._stages.every(
      (stage) => stage.version >= version || stage.complete || !stage.exchange.isFetching,
    );
  }

  /** Whether this box has no open origin fetches of older versions, so that `version` may use the origin's link. */
  private _mayFetchFromOrigin(version: number): boolean {
    return this._stages.every((stage) => stage.version >= version || stage.exchange.openDraws.length === 0);
  }

  private _drop(stage: VersionStage): void {
    this._options.log.state('version.dropped', {
      version: stage.version,
      wanted: this.targetVersion,
      heldShare: stage.heldShare,
    });
    stage.drop();
    this._stages = this._stages.filter((other) => other !== stage);
  }

  private async _open(target: TargetVersion, signal: AbortSignal): Promise<void> {
    const { manifests, members, log, onOpened } = this._options;
    const { model, version } = target;
    const manifest = await manifests.read(model, version, rolloutName(model, version), signal);
    if (!manifest || signal.aborted) return;
    const stage = new VersionStage({
      ...this._options,
      ...target,
      manifest,
      members: members(),
      mayFetchFromPeers: () => this._mayFetchFromPeers(version),
      mayFetchFromOrigin: () => this._mayFetchFromOrigin(version),
    });
    this._stages.push(stage);
    const adopt = this._isFirst;
    this._isFirst = false;
    log.state('version.staging', {
      model,
      version,
      members: members().length,
      chunks: stage.index.chunkCount,
    });
    const started = stage.start(adopt);
    onOpened();
    await started;
  }
}
