/** Which versions of a model may still begin requests. */
import type { HeardVersion, WantedVersion } from '../protocol/boxMessages.js';
import {
  LAST_SEND_MARGIN_MILLISECONDS,
  PREFERRED_MARGIN_MILLISECONDS,
  SLOW_SEND_MARGIN_MILLISECONDS,
  SLOW_TAKE_BACK_MARGIN_MILLISECONDS,
  TAKE_BACK_MARGIN_MILLISECONDS,
} from '../protocol/versionMargins.js';
import type { Clock } from '../utils/clock.js';

/** Bounds of a version change, in milliseconds. */
export interface VersionBounds {
  /** Time after the acknowledgement of a version in which requests may still begin on older ones. */
  switchMilliseconds: number;
  /** Time after its start, or after it has regained the store, in which this process is not held to the bound. */
  contactMilliseconds: number;
}

/** The version of a model before any other is named. */
const FIRST_VERSION = 1;
/** Versions of one model that are remembered. */
const REMEMBERED = 16;
/** Versions of one model that others are told of: several may be named within the bound of the oldest. */
const TOLD = 4;

interface KnownVersion {
  version: number;
  /** From when on its bound is counted. */
  knownAt: number;
  /** When the first process heard of it whose word has come here. */
  heardAt: number;
  /** Whether the own source has told it: only its first word says what time may have passed before. */
  isNoted: boolean;
}

/** Versions of a model only rise, but they may become known in any order, and from several sides. */
export class VersionGate {
  private readonly _bounds: VersionBounds;
  private readonly _clock: Clock;
  private readonly _startedAt: number;
  /** By model, in the order of versions. */
  private readonly _known = new Map<string, KnownVersion[]>();

  constructor(bounds: VersionBounds, clock: Clock) {
    this._bounds = bounds;
    this._clock = clock;
    this._startedAt = clock.now();
  }

  /**
   * Notes a version; returns whether it was unknown. It may have been named `lateMilliseconds` before it was heard of; infinite
   * when nothing is known of the time since the start. A process is not held to the bound for `contactMilliseconds` after its
   * start, nor after it was without word of the store for longer than that. If it took the bound for over, it would refuse
   * everything until the newer version has come, and take back the requests that it has just sent.
   */
  noteTarget(model: string, version: number, lateMilliseconds: number): boolean {
    const now = this._clock.now();
    const contactSince = Number.isFinite(lateMilliseconds) ? now : this._startedAt;
    const knownAt = Math.max(now - lateMilliseconds, this._earliestThatCounts(contactSince));
    const known = this._find(model, version);
    if (!known) return this._add(model, { version, knownAt, heardAt: now, isNoted: true });
    if (!known.isNoted) known.knownAt = Math.min(known.knownAt, knownAt);
    known.isNoted = true;
    return false;
  }

  /**
   * Notes that some process has known of a version for `heardMilliseconds`; returns whether it was unknown here. The bound
   * counts from then, also where this process hears late, or of a newer version first: its own source may have missed one.
   * What it hears long after the others, it is not held to at once, as in {@link VersionGate.noteTarget}.
   */
  noteHeard({ model, version, heardMilliseconds }: HeardVersion): boolean {
    const now = this._clock.now();
    const heardAt = now - heardMilliseconds;
    const knownAt = Math.max(heardAt, this._earliestThatCounts(now));
    const known = this._find(model, version);
    if (!known) return this._add(model, { version, knownAt, heardAt, isNoted: false });
    known.knownAt = Math.min(known.knownAt, knownAt);
    known.heardAt = Math.min(known.heardAt, heardAt);
    return false;
  }

  /** The newest versions of a model that are known here, for others. */
  heard(model: string): HeardVersion[] {
    const now = this._clock.now();
    const newest = (this._known.get(model) ?? []).slice(-TOLD);
    return newest.map(({ version, heardAt }) => ({
      model,
      version,
      heardMilliseconds: Math.max(0, now - heardAt),
    }));
  }

  /**
   * The lowest version on which a request may begin that is sent now; 0 when any may. `slow` when it may take long to
   * begin.
   */
  minVersionToSend(model: string, slow = false): number {
    const margin = slow ? SLOW_SEND_MARGIN_MILLISECONDS : LAST_SEND_MARGIN_MILLISECONDS;
    return this._dueAfter(model, this._bounds.switchMilliseconds - margin);
  }

  /**
   * The lowest version on which requests that have been sent may still begin; others have to be taken back. `slow` when
   * taking back may take long.
   */
  minVersionToBegin(model: string, slow = false): number {
    const margin = slow ? SLOW_TAKE_BACK_MARGIN_MILLISECONDS : TAKE_BACK_MARGIN_MILLISECONDS;
    return this._dueAfter(model, this._bounds.switchMilliseconds - margin);
  }

  /** The lowest version that is not better avoided, since others may begin too late if their server goes dark. */
  preferredMinVersion(model: string): number {
    return this._dueAfter(model, this._bounds.switchMilliseconds - PREFERRED_MARGIN_MILLISECONDS);
  }

  /** The newest version of a model; 0 when none is known. */
  newest(model: string): number {
    return this._known.get(model)?.at(-1)?.version ?? 0;
  }

  /** The version of a model that every backend server should come to. */
  wanted(model: string): WantedVersion {
    const newest = this._known.get(model)?.at(-1);
    if (!newest) return { model, version: FIRST_VERSION, knownMilliseconds: this._bounds.switchMilliseconds };
    return {
      model,
      version: newest.version,
      knownMilliseconds: Math.max(0, this._clock.now() - newest.knownAt),
    };
  }

  /** The earliest moment from which a bound is counted by a process that has been in contact since `contactSince`. */
  private _earliestThatCounts(contactSince: number): number {
    const { switchMilliseconds, contactMilliseconds } = this._bounds;
    return contactSince - (switchMilliseconds - contactMilliseconds);
  }

  private _find(model: string, version: number): KnownVersion | undefined {
    return this._known.get(model)?.find((item) => item.version === version);
  }

  private _add(model: string, added: KnownVersion): true {
    const known = [...(this._known.get(model) ?? []), added].sort((a, b) => a.version - b.version);
    this._known.set(model, known.slice(-REMEMBERED));
    return true;
  }

  /** The newest version that has been known for `milliseconds`, 0 when there is none. */
  private _dueAfter(model: string, milliseconds: number): number {
    const oldest = this._clock.now() - milliseconds;
    const due = (this._known.get(model) ?? []).filter((item) => item.knownAt <= oldest);
    return due.at(-1)?.version ?? 0;
  }
}
