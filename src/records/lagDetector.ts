/** Notices copies that lack a change which another source has known for too long. */

/** How long a copy may lack a change: as long as readers gather minor changes (500 ms), and a stamp (300 ms), with a margin. */
const MAX_LAG_MILLISECONDS = 1_000;

interface Lag {
  /** Revision of the change that is lacking. */
  missingRevision: number;
  since: number;
}

export class LagDetector {
  private readonly _lags = new Map<string, Lag>();

  /**
   * Whether the copy of `kind`, complete up to `revision`, has lacked a change for too long; `newestChange` is the newest
   * that any source knows. Revisions up to which copies are complete say nothing here: they rise with changes of other
   * kinds at each call to the store, and calls of different readers end at different times.
   */
  exceedsLimit(kind: string, revision: number, newestChange: number, now: number): boolean {
    const lag = this._lags.get(kind);
    if (newestChange <= revision) {
      this._lags.delete(kind);
      return false;
    }
    if (!lag || lag.missingRevision <= revision) {
      this._lags.set(kind, { missingRevision: newestChange, since: now });
      return false;
    }
    if (now - lag.since <= MAX_LAG_MILLISECONDS) return false;
    this._lags.delete(kind);
    return true;
  }
}
