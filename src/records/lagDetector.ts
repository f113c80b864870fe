/** Detects copies that have lacked for too long a change that another source has. */

/** Readers delay minor changes by up to 500 ms, and stamps come every 300 ms; the rest is a margin. */
const MAX_LAG_MILLISECONDS = 1_000;

interface Lag {
  /** Revision of the missing change. */
  missingRevision: number;
  since: number;
}

export class LagDetector {
  private readonly _lags = new Map<string, Lag>();

  /**
   * Whether the copy of `kind`, complete up to `revision`, has lacked a change for too long. `newestChange` is the
   * revision of the newest change of this kind that any source has. The revisions up to which sources are complete
   * cannot be compared instead: they rise with changes of other kinds at each call to the store, and readers call the
   * store at different times.
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
