/** Versions that the entries connected to this agent have heard of, for those that hear late. */
import type { HeardVersion } from '../protocol/boxMessages.js';
import type { Clock } from '../utils/clock.js';

/** Versions of a model that are remembered: more than an entry tells. */
const REMEMBERED = 16;
/** An earlier time than the one that was told is told again if it differs by more: less is the way of a message. */
const LEAST_DIFFERENCE_MILLISECONDS = 100;

interface Heard {
  version: number;
  heardAt: number;
}

export class HeardVersions {
  private readonly _clock: Clock;
  /** By model, in the order of versions. */
  private readonly _heard = new Map<string, Heard[]>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Takes what an entry tells; returns what is new to this agent, or was heard of earlier than it knew. */
  merge(versions: readonly HeardVersion[]): HeardVersion[] {
    return versions.filter((item) => this._takeOne(item));
  }

  /** All that is remembered. */
  all(): HeardVersion[] {
    const now = this._clock.now();
    return [...this._heard].flatMap(([model, versions]) =>
      versions.map(({ version, heardAt }) => ({ model, version, heardMilliseconds: now - heardAt })),
    );
  }

  private _takeOne({ model, version, heardMilliseconds }: HeardVersion): boolean {
    const heardAt = this._clock.now() - heardMilliseconds;
    const versions = this._heard.get(model) ?? [];
    const known = versions.find((item) => item.version === version);
    if (known) {
      const isEarlier = known.heardAt - heardAt > LEAST_DIFFERENCE_MILLISECONDS;
      if (isEarlier) known.heardAt = heardAt;
      return isEarlier;
    }
    const sorted = [...versions, { version, heardAt }].sort((a, b) => a.version - b.version);
    this._heard.set(model, sorted.slice(-REMEMBERED));
    return true;
  }
}
