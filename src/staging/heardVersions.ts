/**
 * Versions that the connected entries have heard of, and when. The agent forwards them to entries that have not
 * heard of them yet.
 */
import type { HeardVersion } from '../protocol/boxMessages.js';
import type { Clock } from '../utils/clock.js';

/** Maximum number of versions kept for each model; more than an entry reports. */
const MAX_VERSIONS = 16;
/** A report with an earlier time is forwarded only if it is earlier by more than this; less is message latency. */
const MIN_DIFFERENCE_MILLISECONDS = 100;

interface Heard {
  version: number;
  heardAt: number;
}

export class HeardVersions {
  private readonly _clock: Clock;
  /** Versions in ascending order, by model. */
  private readonly _heard = new Map<string, Heard[]>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Adds the versions that an entry reports. Returns those that are new, or were heard of earlier than was known. */
  merge(versions: readonly HeardVersion[]): HeardVersion[] {
    return versions.filter((item) => this._mergeOne(item));
  }

  /** Returns all versions that are kept. */
  all(): HeardVersion[] {
    const now = this._clock.now();
    return [...this._heard].flatMap(([model, versions]) =>
      versions.map(({ version, heardAt }) => ({ model, version, heardMilliseconds: now - heardAt })),
    );
  }

  private _mergeOne({ model, version, heardMilliseconds }: HeardVersion): boolean {
    const heardAt = this._clock.now() - heardMilliseconds;
    const versions = this._heard.get(model) ?? [];
    const known = versions.find((item) => item.version === version);
    if (known) {
      const isEarlier = known.heardAt - heardAt > MIN_DIFFERENCE_MILLISECONDS;
      if (isEarlier) known.heardAt = heardAt;
      return isEarlier;
    }
    const sorted = [...versions, { version, heardAt }].sort((a, b) => a.version - b.version);
    this._heard.set(model, sorted.slice(-MAX_VERSIONS));
    return true;
  }
}
