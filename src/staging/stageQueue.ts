/** The versions on their way to this box, oldest first. */
import type { Member } from '../protocol/rolloutMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { ManifestReader } from './manifestReader.js';
import type { VersionStageOptions } from './versionStage.js';
import { VersionStage, rolloutName } from './versionStage.js';
import { isWorthFinishing } from './worthFinishing.js';

/** A version to bring into service. */
export interface TargetVersion {
  model: string;
  version: number;
  /** Monotonic milliseconds at which it was named. */
  announcedAt: number;
}

/** What the queue works with. */
export interface StageQueueOptions extends Pick<
  VersionStageOptions,
  'services' | 'stagingArea' | 'staged' | 'clock' | 'log' | 'bytesPerSecond'
> {
  manifests: ManifestReader;
  log: EventLog;
  members: () => readonly Member[];
  /** Time after its naming in which a version has to take the place of older ones. */
  versionMilliseconds: number;
  /** A stage was opened. */
  onOpened: () => void;
}

export class StageQueue {
  private readonly _options: StageQueueOptions;
  private _stages: VersionStage[] = [];
  private _target: TargetVersion | undefined;
  private _reading = new AbortController();
  private _first = true;

  constructor(options: StageQueueOptions) {
    this._options = options;
  }

  /** The model that this box serves, '' while unknown. */
  get model(): string {
    return this._target?.model ?? '';
  }

  /** The newest version that is wanted, 0 while unknown. */
  get wantedVersion(): number {
    return this._target?.version ?? 0;
  }

  get stages(): readonly VersionStage[] {
    return this._stages;
  }

  /** Whether a version comes so slowly that the link must be narrow. */
  get isSlow(): boolean {
    return this._stages.some((stage) => stage.isSlow);
  }

  /** The oldest stage of a version newer than `version`. */
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

  /** Takes a target if it is newer than the one before. */
  setTarget(target: TargetVersion): void {
    if (this._target && target.version <= this._target.version) return;
    this._target = target;
    this._reading.abort();
    this._reading = new AbortController();
    this._options.log.state('version.wanted', { model: target.model, version: target.version });
    this.dropSuperseded();
    void this._open(target, this._reading.signal);
  }

  /** Drops versions that are not worth finishing, since a newer one has been named. */
  dropSuperseded(): void {
    for (const stage of this._stages) {
      if (!stage.complete && !this._isWorthFinishing(stage)) this._drop(stage);
    }
  }

  /** Drops what is older than the version in service. */
  dropOlderThan(version: number): void {
    for (const stage of this._stages) {
      if (stage.version < version) this._drop(stage);
    }
  }

  /** Takes over a change of the members of the service. */
  updateMembers(): void {
    for (const stage of this._stages) stage.updateMembers(this._options.members());
  }

  close(): void {
    this._reading.abort();
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

  /** Whether all older versions are here or cannot go on, so that `version` may take the link. */
  private _mayFetch(version: number): boolean {
    return this._stages.every(
      (stage) => stage.version >= version || stage.complete || !stage.exchange.isFetching,
    );
  }

  /** Whether this box has drawn its part of all older versions, so that `version` may have the origin's link. */
  private _mayDraw(version: number): boolean {
    return this._stages.every((stage) => stage.version >= version || stage.exchange.openDraws.length === 0);
  }

  private _drop(stage: VersionStage): void {
    this._options.log.state('version.dropped', {
      version: stage.version,
      wanted: this.wantedVersion,
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
      mayFetch: () => this._mayFetch(version),
      mayDraw: () => this._mayDraw(version),
    });
    this._stages.push(stage);
    const adopt = this._first;
    this._first = false;
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
