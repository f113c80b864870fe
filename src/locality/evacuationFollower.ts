/** Applies the records of evacuations, logs each beginning and end, and tells whether their list is known. */
import type { RecordReplica, ReplicaChange } from '../records/recordReplica.js';
import { revisionFields } from '../records/storeRevision.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { Evacuations } from './evacuations.js';

export interface EvacuationFollowerOptions {
  /** Undefined where the deployment has no evacuations. */
  replica: RecordReplica | undefined;
  evacuations: Evacuations;
  /** Whether there is no copy because the source of the records does not provide evacuations, as in an older build. */
  isNotProvided: () => boolean;
  /** Where confirmed records come from, for the log. Provisional ones come from the store. */
  source: () => string;
  /** Upper bound for the age of a change, in milliseconds; infinite if unknown. */
  maxAgeMilliseconds: () => number;
  /** Whether a data centre exists, as far as this process knows. */
  isKnownDataCentre: (dataCentre: string) => boolean;
  clock: Clock;
  log: EventLog;
}

/**
 * How long a starting process waits for a confirmed list before a list that may be some seconds old suffices. A source
 * or the store provides a confirmed list within a second unless neither can be reached.
 */
export const PROVISIONAL_WAIT_MILLISECONDS = 2_000;

export class EvacuationFollower {
  private readonly _options: EvacuationFollowerOptions;
  /** Monotonic milliseconds at which each evacuation came into force here, by data centre. */
  private readonly _begunAt = new Map<string, number>();
  private _provisionalAt = Number.POSITIVE_INFINITY;
  private _isListed = false;
  private _isKnown = false;

  constructor(options: EvacuationFollowerOptions) {
    this._options = options;
    options.replica?.on('change', (change) => this._apply(options.replica!, change));
  }

  /**
   * Whether the list of evacuations is known, or cannot be had from the current source. Once true, it stays true: while
   * the store is unavailable, the last known evacuations stay in force.
   */
  get isKnown(): boolean {
    this._isKnown ||= this._isKnownNow();
    return this._isKnown;
  }

  /** Number of evacuated data centres that exist. */
  get evacuatedDataCentres(): number {
    const { evacuations, isKnownDataCentre } = this._options;
    return evacuations.dataCentres.filter((name) => isKnownDataCentre(name)).length;
  }

  private _isKnownNow(): boolean {
    const { replica, isNotProvided, clock } = this._options;
    if (!replica || replica.revision > 0 || isNotProvided()) return true;
    return clock.now() - this._provisionalAt >= PROVISIONAL_WAIT_MILLISECONDS;
  }

  private _apply(replica: RecordReplica, { cause }: ReplicaChange): void {
    const { evacuations, clock } = this._options;
    const now = clock.now();
    const isProvisional = replica.revision === 0;
    if (isProvisional) this._provisionalAt = Math.min(this._provisionalAt, now);
    const { begun, ended } = evacuations.update(replica.objects.keys());
    for (const dataCentre of begun) {
      this._begunAt.set(dataCentre, now);
      this._log('evacuation.begun', dataCentre, { cause, ...this._origin(replica, isProvisional) });
    }
    for (const dataCentre of ended) {
      const lastedMilliseconds = Math.round(now - (this._begunAt.get(dataCentre) ?? now));
      this._begunAt.delete(dataCentre);
      const origin = this._origin(replica, isProvisional);
      this._log('evacuation.ended', dataCentre, { cause, ...origin, lastedMilliseconds });
    }
    this._isListed ||= !isProvisional;
  }

  /** Where a change came from, and how old it may be: unknown for the first list. */
  private _origin({ revision }: RecordReplica, isProvisional: boolean): Record<string, unknown> {
    const maxAge = this._isListed ? this._options.maxAgeMilliseconds() : Number.POSITIVE_INFINITY;
    return {
      source: isProvisional ? 'store' : this._options.source(),
      provisional: isProvisional || undefined,
      maxAgeMilliseconds: Number.isFinite(maxAge) ? Math.round(maxAge) : undefined,
      ...revisionFields(revision),
    };
  }

  private _log(step: string, dataCentre: string, fields: Record<string, unknown>): void {
    const { log, isKnownDataCentre } = this._options;
    log.state(step, { evacuated: dataCentre, known: isKnownDataCentre(dataCentre), ...fields });
  }
}
