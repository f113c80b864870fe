/** Brings the backend server of this box to the wanted version, again and again until it is there. */
import type { Manifest } from '../protocol/manifest.js';
import type { Member } from '../protocol/rolloutMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import type { ExchangeServices } from '../weights/rolloutExchange.js';
import { drawOrder } from './drawSchedule.js';
import type { LocalBackend, LocalBackendStatus } from './localBackend.js';
import type { ManifestReader } from './manifestReader.js';
import type { SwitchPeer, SwitchStage } from './switchTurn.js';
import { maySwitch } from './switchTurn.js';
import { VersionStage, rolloutName } from './versionStage.js';

/** A version to bring into service. */
export interface TargetVersion {
  model: string;
  version: number;
  /** Monotonic milliseconds at which it was named. */
  namedAt: number;
}

/** What the reconciler works with. */
export interface VersionReconcilerOptions {
  box: string;
  backend: LocalBackend;
  manifests: ManifestReader;
  services: ExchangeServices;
  clock: Clock;
  log: EventLog;
  versionMilliseconds: number;
  members: () => readonly Member[];
  /** Where the other boxes stand on the way to `version`. */
  peers: (version: number) => SwitchPeer[];
  /** The stage of this box, or what its backend server says, has changed. */
  onChange: () => void;
}

const POLL_MILLISECONDS = 120;
const SWITCHING_POLL_MILLISECONDS = 40;
/** How long entries have to hear that a switch begins before it does. */
const NOTICE_MILLISECONDS = 30;
/** An order that has shown no effect for so long is looked at anew. */
const ORDER_PATIENCE_MILLISECONDS = 6_000;
const RETRY_MILLISECONDS = 100;

export class VersionReconciler {
  private readonly _options: VersionReconcilerOptions;
  private readonly _stopped = new AbortController();
  private _target: TargetVersion | undefined;
  private _stage: VersionStage | undefined;
  private _staging: Promise<void> | undefined;
  private _status: LocalBackendStatus | undefined;
  private _switching = false;
  private _orderedAt = Number.NEGATIVE_INFINITY;
  private _verifiedAt = Number.NEGATIVE_INFINITY;
  private _first = true;

  constructor(options: VersionReconcilerOptions) {
    this._options = options;
  }

  /** What the backend server last said. */
  get status(): LocalBackendStatus | undefined {
    return this._status;
  }

  get target(): TargetVersion | undefined {
    return this._target;
  }

  get stage(): VersionStage | undefined {
    return this._stage;
  }

  /** The version in service, 0 when there is none. */
  get servedVersion(): number {
    return this._target ? (this._status?.versions.get(this._target.model) ?? 0) : 0;
  }

  get switchStage(): SwitchStage {
    if (this._target && this.servedVersion >= this._target.version) return 'serving';
    if (this._switching) return 'switching';
    return this._stage?.complete ? 'staged' : 'staging';
  }

  start(): void {
    void this._run();
  }

  stop(): void {
    this._stopped.abort();
    this._stage?.drop();
  }

  /** Takes a target if it is newer than the one before. */
  want(target: TargetVersion): void {
    if (this._target && target.version <= this._target.version) return;
    this._target = target;
    this._options.log.state('version.wanted', { model: target.model, version: target.version });
    this._options.onChange();
    void this._ensureStage();
  }

  /** Takes over a change of the members of the service. */
  updateMembers(): void {
    this._stage?.updateMembers(this._options.members());
  }

  private async _run(): Promise<void> {
    while (!this._stopped.signal.aborted) {
      try {
        await this._poll();
        await this._reconcile();
      } catch (error) {
        this._options.log.decision('backend.unreachable', { reason: errorText(error) });
        await pause(RETRY_MILLISECONDS, this._stopped.signal);
      }
      const wait = this._switching ? SWITCHING_POLL_MILLISECONDS : POLL_MILLISECONDS;
      await pause(wait, this._stopped.signal);
    }
  }

  private async _poll(): Promise<void> {
    const before = this.servedVersion;
    this._status = await this._options.backend.status();
    const served = this.servedVersion;
    if (served !== before) {
      const since = this._target ? Math.round(this._options.clock.now() - this._target.namedAt) : 0;
      this._options.log.state('version.serving', { version: served, before, milliseconds: since });
    }
    if (this._switching && this._target && served >= this._target.version) this._switching = false;
    this._options.onChange();
  }

  private async _reconcile(): Promise<void> {
    const target = this._target;
    if (!target || this.servedVersion >= target.version) return;
    await this._ensureStage();
    const stage = this._stage;
    if (!stage?.complete || stage.version !== target.version) return;
    if (this._switching && !this._orderIsLost()) return;
    const isEmpty = this.servedVersion === 0;
    if (!isEmpty && !this._mayBegin(target)) return;
    await this._switch(stage, isEmpty);
  }

  /** Whether an order that was given has had no effect, so that it has to be given again. */
  private _orderIsLost(): boolean {
    const waited = this._options.clock.now() - this._orderedAt;
    return this._status?.busy === false && waited > RETRY_MILLISECONDS * 3
      ? true
      : waited > ORDER_PATIENCE_MILLISECONDS;
  }

  private _mayBegin(target: TargetVersion): boolean {
    const { box, clock, versionMilliseconds, members, peers } = this._options;
    return maySwitch({
      box,
      peers: peers(target.version),
      order: drawOrder(rolloutName(target.model, target.version), members()),
      leftMilliseconds: target.namedAt + versionMilliseconds - clock.now(),
    });
  }

  private async _switch(stage: VersionStage, isEmpty: boolean): Promise<void> {
    const { backend, clock, log, onChange } = this._options;
    this._switching = true;
    onChange();
    const beganAt = clock.now();
    if (!(await stage.verify())) {
      this._switching = false;
      log.state('version.not-whole', { version: stage.version });
      return;
    }
    this._verifiedAt = clock.now();
    if (!isEmpty) await pause(NOTICE_MILLISECONDS);
    const { revision } = await backend.status();
    const outcome = await backend.startVersion(stage.model, stage.version, revision);
    this._orderedAt = clock.now();
    log.state('version.ordered', {
      model: stage.model,
      version: stage.version,
      outcome,
      revision,
      verifyMilliseconds: Math.round(this._verifiedAt - beganAt),
      milliseconds: Math.round(clock.now() - stage.namedAt),
    });
    if (outcome === 'refused') this._switching = false;
  }

  /** Makes sure that the wanted version is on its way to this box. */
  private async _ensureStage(): Promise<void> {
    const target = this._target;
    if (!target || this._stage?.version === target.version) return;
    this._staging ??= this._openStage(target).finally(() => (this._staging = undefined));
    await this._staging;
  }

  private async _openStage(target: TargetVersion): Promise<void> {
    const { manifests, services, backend, clock, log, members } = this._options;
    const rollout = rolloutName(target.model, target.version);
    const superseded = AbortSignal.any([this._stopped.signal, this._whenSuperseded(target)]);
    const manifest: Manifest | undefined = await manifests.read(
      target.model,
      target.version,
      rollout,
      superseded,
    );
    if (!manifest || superseded.aborted) return;
    this._stage?.drop();
    const { model, version, namedAt } = target;
    const stage = new VersionStage({
      model,
      version,
      manifest,
      namedAt,
      members: members(),
      services,
      backend,
      clock,
      log,
    });
    this._stage = stage;
    const adopt = this._first;
    this._first = false;
    log.state('version.staging', {
      model,
      version,
      members: members().length,
      chunks: stage.index.chunkCount,
    });
    this._options.onChange();
    await stage.start(adopt);
  }

  /** Aborted once another version is wanted. */
  private _whenSuperseded(target: TargetVersion): AbortSignal {
    const controller = new AbortController();
    const timer = setInterval(() => {
      if (this._target === target && !this._stage) return;
      if (this._target !== target) controller.abort();
      if (this._target !== target || this._stage?.version === target.version) clearInterval(timer);
    }, RETRY_MILLISECONDS);
    return controller.signal;
  }
}
