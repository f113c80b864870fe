/** Decides on which versions of a model requests may still begin after a newer version was announced. */
import type { HeardVersion, WantedVersion } from '../protocol/boxMessages.js';
import {
  LAST_SEND_MARGIN_MILLISECONDS,
  AVOIDANCE_MARGIN_MILLISECONDS,
  SLOW_SEND_MARGIN_MILLISECONDS,
  SLOW_CANCEL_MARGIN_MILLISECONDS,
  CANCEL_MARGIN_MILLISECONDS,
} from '../protocol/versionMargins.js';
import type { Clock } from '../utils/clock.js';

/** Times that determine version deadlines, in milliseconds. */
export interface VersionTimeLimits {
  /** How long requests may still begin on older versions after a newer one was announced: the version deadline. */
  switchMilliseconds: number;
  /** How long this process is exempt from version deadlines after its start, or after it has regained the store. */
  contactMilliseconds: number;
}

/** The version of a model before any version is announced. */
const FIRST_VERSION = 1;
/** Maximum number of versions that are remembered for each model. */
const MAX_REMEMBERED = 16;
/** Number of versions of a model that are reported to others: several can be announced before a version deadline. */
const MAX_REPORTED = 4;

interface KnownVersion {
  version: number;
  /** Monotonic milliseconds from which the time until the version deadline is counted. */
  countedFrom: number;
  /** Earliest time at which any process is known to have heard of the version. */
  heardAt: number;
  /** Whether the version was read from the records: only the first read shows how late it may be. */
  isFromRecords: boolean;
}

/** Versions of a model only increase, but may become known in any order and from several sources. */
export class VersionGate {
  private readonly _timeLimits: VersionTimeLimits;
  private readonly _clock: Clock;
  private readonly _startedAt: number;
  /** Known versions by model, in ascending order. */
  private readonly _known = new Map<string, KnownVersion[]>();

  constructor(timeLimits: VersionTimeLimits, clock: Clock) {
    this._timeLimits = timeLimits;
    this._clock = clock;
    this._startedAt = clock.now();
  }

  /**
   * Adds a version from the records; returns whether it was unknown. It may have been announced up to
   * `lateMilliseconds` ago; infinite when nothing is known about the time since the start.
   *
   * For `contactMilliseconds` after its start, or after a longer time without the store, a process is exempt from
   * version deadlines. Otherwise it would consider them passed, refuse all requests until servers have the newer
   * version, and cancel requests that it has just sent.
   */
  noteTarget(model: string, version: number, lateMilliseconds: number): boolean {
    const now = this._clock.now();
    const contactSince = Number.isFinite(lateMilliseconds) ? now : this._startedAt;
    const countedFrom = Math.max(now - lateMilliseconds, this._earliestDeadlineStart(contactSince));
    const known = this._find(model, version);
    if (!known) return this._add(model, { version, countedFrom, heardAt: now, isFromRecords: true });
    if (!known.isFromRecords) known.countedFrom = Math.min(known.countedFrom, countedFrom);
    known.isFromRecords = true;
    return false;
  }

  /**
   * Adds a version that some process has known for `heardMilliseconds`; returns whether it was unknown here. The
   * time until the version deadline is counted from when that process heard of it, even if this process hears of it
   * late or hears of a newer version first, because its own source may have missed a version. The exemption described
   * at {@link VersionGate.noteTarget} applies.
   */
  noteHeard({ model, version, heardMilliseconds }: HeardVersion): boolean {
    const now = this._clock.now();
    const heardAt = now - heardMilliseconds;
    const countedFrom = Math.max(heardAt, this._earliestDeadlineStart(now));
    const known = this._find(model, version);
    if (!known) return this._add(model, { version, countedFrom, heardAt, isFromRecords: false });
    known.countedFrom = Math.min(known.countedFrom, countedFrom);
    known.heardAt = Math.min(known.heardAt, heardAt);
    return false;
  }

  /** The newest known versions of a model, to be reported to others. */
  heard(model: string): HeardVersion[] {
    const now = this._clock.now();
    const newest = (this._known.get(model) ?? []).slice(-MAX_REPORTED);
    return newest.map(({ version, heardAt }) => ({
      model,
      version,
      heardMilliseconds: Math.max(0, now - heardAt),
    }));
  }

  /**
   * The lowest version on which a server may be sent a request now; 0 when any version may be used. Set `slow` if the
   * request may take long to begin.
   */
  minVersionToSend(model: string, slow = false): number {
    const margin = slow ? SLOW_SEND_MARGIN_MILLISECONDS : LAST_SEND_MARGIN_MILLISECONDS;
    return this._newestKnownFor(model, this._timeLimits.switchMilliseconds - margin);
  }

  /**
   * The lowest version on which requests that were already sent may still begin; requests to servers of older
   * versions have to be cancelled. Set `slow` if cancelling may take long.
   */
  minVersionToBegin(model: string, slow = false): number {
    const margin = slow ? SLOW_CANCEL_MARGIN_MILLISECONDS : CANCEL_MARGIN_MILLISECONDS;
    return this._newestKnownFor(model, this._timeLimits.switchMilliseconds - margin);
  }

  /** Versions below this should be avoided: a request could begin too late if its server becomes unreachable. */
  preferredMinVersion(model: string): number {
    return this._newestKnownFor(model, this._timeLimits.switchMilliseconds - AVOIDANCE_MARGIN_MILLISECONDS);
  }

  /** The newest version of a model; 0 when none is known. */
  newest(model: string): number {
    return this._known.get(model)?.at(-1)?.version ?? 0;
  }

  /** The target version of a model, which every backend server should serve. */
  wanted(model: string): WantedVersion {
    const newest = this._known.get(model)?.at(-1);
    if (!newest)
      return { model, version: FIRST_VERSION, knownMilliseconds: this._timeLimits.switchMilliseconds };
    return {
      model,
      version: newest.version,
      knownMilliseconds: Math.max(0, this._clock.now() - newest.countedFrom),
    };
  }

  /** Lower bound for {@link KnownVersion.countedFrom} in a process that has been in contact since `contactSince`. */
  private _earliestDeadlineStart(contactSince: number): number {
    const { switchMilliseconds, contactMilliseconds } = this._timeLimits;
    return contactSince - (switchMilliseconds - contactMilliseconds);
  }

  private _find(model: string, version: number): KnownVersion | undefined {
    return this._known.get(model)?.find((item) => item.version === version);
  }

  private _add(model: string, added: KnownVersion): true {
    const known = [...(this._known.get(model) ?? []), added].sort((a, b) => a.version - b.version);
    this._known.set(model, known.slice(-MAX_REMEMBERED));
    return true;
  }

  /** The newest version that has been known for `milliseconds`; 0 when there is none. */
  private _newestKnownFor(model: string, milliseconds: number): number {
    const oldest = this._clock.now() - milliseconds;
    const due = (this._known.get(model) ?? []).filter((item) => item.countedFrom <= oldest);
    return due.at(-1)?.version ?? 0;
  }
}
