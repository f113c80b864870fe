/**
 * Passes target versions from the platform's records and from other entries to the version gate, and logs new ones.
 */
import type { AgentAddress, HeardVersion } from '../protocol/boxMessages.js';
import type { ReplicaChange } from '../records/recordReplica.js';
import type { UnreadableRecords } from '../records/unreadableRecords.js';
import type { StoredObject } from '../records/watchableStore.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { PlatformFollowers } from './platformFollowers.js';
import type { TargetVersion, RecordReader } from './platformRecords.js';
import type { VersionGate } from './versionGate.js';

export class VersionUpdates {
  private readonly _followers: PlatformFollowers;
  private readonly _reader: RecordReader;
  private readonly _unreadable: UnreadableRecords;
  private readonly _gate: VersionGate;
  private readonly _log: EventLog;
  private _hasListed = false;

  constructor(
    followers: PlatformFollowers,
    reader: RecordReader,
    unreadable: UnreadableRecords,
    gate: VersionGate,
    log: EventLog,
  ) {
    this._followers = followers;
    this._reader = reader;
    this._unreadable = unreadable;
    this._gate = gate;
    this._log = log;
  }

  /** Passes the versions in changed records to the gate; returns whether any was new. */
  onChange({ whole }: ReplicaChange): boolean {
    const lateMilliseconds = this._lateMilliseconds(whole);
    this._hasListed = true;
    let changed = false;
    for (const object of this._followers.versions.objects.values()) {
      const target = this._read(object);
      if (!target || !this._gate.noteTarget(target.model, target.version, lateMilliseconds)) continue;
      this._log.state('version.named', { ...target, lateMilliseconds: Math.round(lateMilliseconds) });
      changed = true;
    }
    return changed;
  }

  /** Passes versions that an agent has heard of from other entries to the gate; returns whether any was new. */
  onHeard({ box }: AgentAddress, versions: readonly HeardVersion[]): boolean {
    const unknown = versions.filter((heard) => this._gate.noteHeard(heard));
    for (const { model, version, heardMilliseconds } of unknown) {
      this._log.state('version.heard', {
        model,
        version,
        agent: box,
        heardMilliseconds: Math.round(heardMilliseconds),
      });
    }
    return unknown.length > 0;
  }

  private _read(object: StoredObject): TargetVersion | undefined {
    const { kinds } = this._reader;
    return this._unreadable.unwrapOrReport(
      kinds.versions,
      object,
      this._reader.version(object.name, object.value),
    );
  }

  /** Upper bound for the time since the versions in a change were written. */
  private _lateMilliseconds(whole: boolean): number {
    if (!this._hasListed) return Number.POSITIVE_INFINITY;
    return whole ? this._followers.maxListingDelayMilliseconds : 0;
  }
}
