/** Which versions of a model may still begin requests. */
import type { WantedVersion } from '../protocol/boxMessages.js';
import { LAST_SEND_MARGIN_MILLISECONDS } from '../protocol/versionMargins.js';
import type { Clock } from '../utils/clock.js';

/** Bounds of a version change, in milliseconds. */
export interface VersionBounds {
  /** Time after the acknowledgement of a version in which requests may still begin on older ones. */
  switchMilliseconds: number;
  /** Time after its start, or after it has regained the store, in which this process is not held to the bound. */
  contactMilliseconds: number;
}

/** Servers that answer late, or are not heard, get nothing on an older version for longer than others. */
const SLOW_MARGIN_MILLISECONDS = 1_500;
/**
 * A request that has not begun on an older version is taken back this long before the bound. An engine reads prompts in passes,
 * and one that it has picked up begins at the end of its pass, whatever becomes of its connection: 190 ms after the reset in a
 * case seen, and up to 500 ms where eight prompts of the mean size wait (45 ms each) beside a large one.
 */
const TAKE_BACK_MARGIN_MILLISECONDS = 500;
/** Servers of older versions are avoided this long before the bound: before, most of them are of an older one. */
const PREFERRED_MARGIN_MILLISECONDS = 3_000;
/** The version of a model before any other is named. */
const FIRST_VERSION = 1;
/** Versions of one model that are remembered. */
const REMEMBERED = 16;

interface KnownVersion {
  version: number;
  knownAt: number;
}

/** Versions of a model only rise. */
export class VersionGate {
  private readonly _bounds: VersionBounds;
  private readonly _clock: Clock;
  private readonly _startedAt: number;
  private readonly _known = new Map<string, KnownVersion[]>();

  constructor(bounds: VersionBounds, clock: Clock) {
    this._bounds = bounds;
    this._clock = clock;
    this._startedAt = clock.now();
  }

  /**
   * Notes a version. It may have been named `lateMilliseconds` before it was heard of; infinite when nothing is known of
   * the time since the start. A process is not held to the bound for `contactMilliseconds` after its start, nor after it was
   * without word of the store for longer than that. If it took the bound for over, it would refuse everything until the newer
   * version has come, and take back the requests that it has just sent.
   */
  note(model: string, version: number, lateMilliseconds: number): boolean {
    const known = this._known.get(model) ?? [];
    if (known.some((item) => item.version >= version)) return false;
    const { switchMilliseconds, contactMilliseconds } = this._bounds;
    const now = this._clock.now();
    const contactSince = Number.isFinite(lateMilliseconds) ? now : this._startedAt;
    const earliestThatCounts = contactSince - (switchMilliseconds - contactMilliseconds);
    known.push({ version, knownAt: Math.max(now - lateMilliseconds, earliestThatCounts) });
    this._known.set(model, known.slice(-REMEMBERED));
    return true;
  }

  /**
   * The lowest version on which a request may begin that is sent now; 0 when any may. `slow` when it may take long to
   * begin.
   */
  lowest(model: string, slow = false): number {
    const margin = slow ? SLOW_MARGIN_MILLISECONDS : LAST_SEND_MARGIN_MILLISECONDS;
    return this._dueAfter(model, this._bounds.switchMilliseconds - margin);
  }

  /** The lowest version on which requests that have been sent may still begin; others have to be taken back. */
  lowestToBegin(model: string): number {
    return this._dueAfter(model, this._bounds.switchMilliseconds - TAKE_BACK_MARGIN_MILLISECONDS);
  }

  /** The lowest version that is not better avoided, since others may begin too late if their server goes dark. */
  preferred(model: string): number {
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

  /** The newest version that has been known for `milliseconds`, 0 when there is none. */
  private _dueAfter(model: string, milliseconds: number): number {
    const oldest = this._clock.now() - milliseconds;
    const due = (this._known.get(model) ?? []).filter((item) => item.knownAt <= oldest);
    return due.at(-1)?.version ?? 0;
  }
}
