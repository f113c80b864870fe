/** The turn of this box: when it begins to prepare for a version, and when it may load it. */
import type { Member } from '../protocol/rolloutMessages.js';
import { LAST_SEND_MARGIN_MILLISECONDS } from '../protocol/versionMargins.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { switchOrder } from './originFetchSchedule.js';
import type { SwitchPeer } from './switchTurn.js';
import { PREPARING_MILLISECONDS, maySwitch } from './switchTurn.js';
import type { VersionStage } from './versionStage.js';

/** Options of a {@link SwitchPreparation}. */
export interface SwitchPreparationOptions {
  box: string;
  clock: Clock;
  log: EventLog;
  versionMilliseconds: number;
  members: () => readonly Member[];
  /** Returns the phases of the other boxes with respect to `version`. */
  peers: (version: number) => SwitchPeer[];
  /** Called when the phase of this box may have changed. */
  onChange: () => void;
}

/** A box that still lacks chunks after preparing for this long gives up its turn. */
const MAX_PREPARATION_MILLISECONDS = 1_500;
/** Time after a pause in which connections that were lost are opened again, and the other boxes report their phases. */
const RECONNECT_MILLISECONDS = 600;

export class SwitchPreparation {
  private readonly _options: SwitchPreparationOptions;
  private _version = 0;
  private _since = 0;
  /** Monotonic milliseconds from which the phases of the other boxes are known again after a pause. */
  private _peersKnownFrom = Number.NEGATIVE_INFINITY;

  constructor(options: SwitchPreparationOptions) {
    this._options = options;
  }

  /** The version for which this box is preparing, 0 for none. */
  get version(): number {
    return this._version;
  }

  /** Whether the load may begin: preparation is over, no requests are running, or there is no time left. */
  isPrepared(stage: VersionStage, running: number | undefined): boolean {
    const { clock, log, onChange } = this._options;
    if (this._version !== stage.version) {
      if (!isNearlyComplete(stage) || !this._mayBegin(stage)) return false;
      this._version = stage.version;
      this._since = clock.now();
      log.state('version.preparing', { version: stage.version, running });
      onChange();
    }
    const elapsed = clock.now() - this._since;
    if (!stage.complete && elapsed > MAX_PREPARATION_MILLISECONDS) {
      this.giveUp();
      return false;
    }
    return running === 0 || elapsed >= PREPARING_MILLISECONDS || this.isLate(stage);
  }

  /** Whether it is too late for new requests to begin on the version in service. */
  isLate(stage: VersionStage): boolean {
    return this._leftMilliseconds(stage) <= LAST_SEND_MARGIN_MILLISECONDS;
  }

  /** Ends the turn. */
  giveUp(): void {
    this._version = 0;
    this._options.onChange();
  }

  /**
   * Records that this process was paused until now. Other boxes may have taken their turn meanwhile, and what they
   * reported is unread.
   */
  onPaused(): void {
    this._peersKnownFrom = this._options.clock.now() + RECONNECT_MILLISECONDS;
    this.giveUp();
  }

  private _mayBegin(stage: VersionStage): boolean {
    const { box, clock, members, peers } = this._options;
    if (clock.now() < this._peersKnownFrom && !this.isLate(stage)) return false;
    return maySwitch({
      box,
      peers: peers(stage.version),
      order: switchOrder(stage.exchange.rollout, members()),
      leftMilliseconds: this._leftMilliseconds(stage),
    });
  }

  /** Milliseconds until the version deadline, after which no request may begin on a version older than this stage's. */
  private _leftMilliseconds(stage: VersionStage): number {
    const { clock, versionMilliseconds } = this._options;
    return stage.announcedAt + versionMilliseconds - clock.now();
  }
}

/** Whether the version is complete by the end of a preparation that begins now. */
export function isNearlyComplete(stage: VersionStage): boolean {
  return stage.expectedMilliseconds < PREPARING_MILLISECONDS;
}
