/** This entry's shares of the retries of all services, for as long as its process lives. */
import type { Clock } from '../utils/clock.js';
import type { RetryBound } from './retryAllowance.js';
import { RetryAllowance } from './retryAllowance.js';

export class RetryAllowances {
  private readonly _bound: RetryBound;
  private readonly _clock: Clock;
  private readonly _entries: () => number;
  private readonly _byService = new Map<string, RetryAllowance>();

  /** `entries` tells how many entries share the bound now. */
  constructor(bound: RetryBound, clock: Clock, entries: () => number) {
    this._bound = bound;
    this._clock = clock;
    this._entries = entries;
  }

  of(service: string): RetryAllowance {
    let allowance = this._byService.get(service);
    if (!allowance) {
      allowance = new RetryAllowance(this._bound, this._clock, this._entries);
      this._byService.set(service, allowance);
    }
    return allowance;
  }
}
