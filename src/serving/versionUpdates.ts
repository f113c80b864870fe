/** Versions that the platform's records name, and those that other entries have heard of, as they come to the version gate. */
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
  private _listed = false;

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

  /** Passes newer versions on to the gate; returns whether there were any. */
  onChange({ whole }: ReplicaChange): boolean {
    const lateMilliseconds = this._lateMilliseconds(whole);
    this._listed = true;
    let changed = false;
    for (const object of this._followers.versions.objects.values()) {
      const named = this._read(object);
      if (!named || !this._gate.noteTarget(named.model, named.version, lateMilliseconds)) continue;
      this._log.state('version.named', { ...named, lateMilliseconds: Math.round(lateMilliseconds) });
      changed = true;
    }
    return changed;
  }

  /** Takes what an agent has heard of from other entries; returns whether any of it is new here. */
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
    return this._unreadable.valueOf(kinds.versions, object, this._reader.version(object.name, object.value));
  }

  /** How long before now a version may have been named that comes with a change. */
  private _lateMilliseconds(whole: boolean): number {
    if (!this._listed) return Number.POSITIVE_INFINITY;
    return whole ? this._followers.maxListingDelayMilliseconds : 0;
  }
}
