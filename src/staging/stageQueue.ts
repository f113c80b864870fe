/** The versions on their way to this box, oldest first. */
import type { Member } from '../protocol/rolloutMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { ManifestReader } from './manifestReader.js';
import type { VersionStageOptions } from './versionStage.js';
import { VersionStage, rolloutName } from './versionStage.js';

/** A version to bring into service. */
export interface TargetVersion {
  model: string;
  version: number;
  /** Monotonic milliseconds at which it was named. */
  namedAt: number;
}

/** What the queue works with. */
export interface StageQueueOptions extends Pick<
  VersionStageOptions,
  'services' | 'backend' | 'clock' | 'log' | 'bytesPerSecond'
> {
  manifests: ManifestReader;
  log: EventLog;
  members: () => readonly Member[];
  /** A stage was opened. */
  onOpened: () => void;
}

/** A version of which so much is here when a newer one is named is still finished and served first. */
const WORTH_FINISHING = 0.7;

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

  /** Whether the newest version comes so slowly that the link must be narrow. */
  get isSlow(): boolean {
    return this._stages.at(-1)?.isSlow ?? false;
  }

  /** The oldest stage of a version newer than `version`. */
  after(version: number): VersionStage | undefined {
    return this._stages.find((stage) => stage.version > version);
  }

  find(rollout: string): VersionStage | undefined {
    return this._stages.find((stage) => stage.exchange.rollout === rollout);
  }

  /** Takes a target if it is newer than the one before. */
  want(target: TargetVersion): void {
    if (this._target && target.version <= this._target.version) return;
    this._target = target;
    this._reading.abort();
    this._reading = new AbortController();
    this._options.log.state('version.wanted', { model: target.model, version: target.version });
    for (const stage of this._stages) {
      if (stage.heldShare < WORTH_FINISHING) this._drop(stage);
    }
    void this._open(target, this._reading.signal);
  }

  /** Drops what is older than the version in service. */
  served(version: number): void {
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

  private _drop(stage: VersionStage): void {
    stage.drop();
    this._stages = this._stages.filter((other) => other !== stage);
  }

  private async _open(target: TargetVersion, signal: AbortSignal): Promise<void> {
    const { manifests, members, log, onOpened } = this._options;
    const { model, version } = target;
    const manifest = await manifests.read(model, version, rolloutName(model, version), signal);
    if (!manifest || signal.aborted) return;
    const stage = new VersionStage({ ...this._options, ...target, manifest, members: members() });
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
