/** Which entries have been seen to apply which configurations, and when no process could know one any more. */

/** A period, in wall clock milliseconds. */
export interface Period {
  from: number;
  until: number;
}

export class AppliedConfigurations {
  /** `entry configuredAt`, for all processes of an entry. */
  private readonly _applied = new Set<string>();
  /** The same for the running process of each entry. */
  private readonly _appliedByRunning = new Set<string>();
  private readonly _running = new Set<string>();
  /** Times at which the last running entry ended, in wall clock milliseconds. */
  private readonly _allEndedAt: number[] = [];

  /** The process of an entry has been started. */
  onEntryStarted(entry: string): void {
    this._running.add(entry);
  }

  /** The process of an entry has ended. */
  onEntryEnded(entry: string): void {
    for (const key of this._appliedByRunning)
      if (key.startsWith(`${entry} `)) this._appliedByRunning.delete(key);
    if (this._running.delete(entry) && this._running.size === 0) this._allEndedAt.push(Date.now());
  }

  /** An entry has been seen to apply the configuration that was written at `configuredAt`. */
  onApplied(entry: string, configuredAt: number): void {
    this._applied.add(`${entry} ${configuredAt}`);
    this._appliedByRunning.add(`${entry} ${configuredAt}`);
  }

  /**
   * Whether an entry that has applied a configuration must still have it. It need not, in a new process, if no entry ran
   * any more while the store was being rolled back to before that configuration.
   */
  mustBeInForce(entry: string, configuredAt: number, rollbacks: readonly Period[]): boolean {
    const key = `${entry} ${configuredAt}`;
    if (!this._applied.has(key)) return false;
    return this._appliedByRunning.has(key) || !this._isLost(configuredAt, rollbacks);
  }

  private _isLost(configuredAt: number, rollbacks: readonly Period[]): boolean {
    return rollbacks.some(
      ({ from, until }) =>
        from <= configuredAt && this._allEndedAt.some((at) => configuredAt <= at && at <= until),
    );
  }
}
