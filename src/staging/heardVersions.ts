/** Versions that the entries connected to this agent have heard of, for those that hear late. */
import type { HeardVersion } from '../protocol/boxMessages.js';
import type { Clock } from '../utils/clock.js';

/** Versions of all models that are remembered. */
const REMEMBERED = 16;
/** An earlier time than the one that was told is told again if it differs by more: less is the way of a message. */
const LEAST_DIFFERENCE_MILLISECONDS = 100;

interface Heard {
  model: string;
  version: number;
  heardAt: number;
}

export class HeardVersions {
  private readonly _clock: Clock;
  private _heard: Heard[] = [];

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Takes what an entry tells; returns what is new to this agent, or was heard of earlier than it knew. */
  take(versions: readonly HeardVersion[]): HeardVersion[] {
    return versions.filter((item) => this._takeOne(item));
  }

  /** All that is remembered. */
  all(): HeardVersion[] {
    const now = this._clock.now();
    return this._heard.map(({ model, version, heardAt }) => ({
      model,
      version,
      heardMilliseconds: now - heardAt,
    }));
  }

  private _takeOne({ model, version, heardMilliseconds }: HeardVersion): boolean {
    const heardAt = this._clock.now() - heardMilliseconds;
    const known = this._heard.find((item) => item.model === model && item.version === version);
    if (known) {
      const isEarlier = known.heardAt - heardAt > LEAST_DIFFERENCE_MILLISECONDS;
      if (isEarlier) known.heardAt = heardAt;
      return isEarlier;
    }
    this._heard = [...this._heard, { model, version, heardAt }].slice(-REMEMBERED);
    return true;
  }
}
