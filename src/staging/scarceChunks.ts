/** Finds chunks that stay at a single box for too long, since its link is too slow to upload them in time. */

/**
 * How long a chunk may be known at one box only. A box fetches five or six chunks from the origin, and with a working
 * link it uploads them to all data centres within a second.
 */
const MAX_SOLE_HOLDER_MILLISECONDS = 1_200;

/** A chunk that a single box has had for too long. */
export interface ScarceChunk {
  chunk: number;
  holder: string;
  /** Milliseconds beyond the time that a chunk may stay at a single box. */
  overdueMilliseconds: number;
}

export class ScarceChunks {
  private readonly _since = new Map<number, number>();

  /**
   * Updates the chunks that are missing here and that only one box is known to have, with that box. Returns those
   * that have been at a single box for too long.
   */
  update(soleHolders: ReadonlyMap<number, string>, now: number): ScarceChunk[] {
    for (const chunk of this._since.keys()) if (!soleHolders.has(chunk)) this._since.delete(chunk);
    const scarce: ScarceChunk[] = [];
    for (const [chunk, holder] of soleHolders) {
      const since = this._since.get(chunk) ?? now;
      this._since.set(chunk, since);
      const overdueMilliseconds = now - since - MAX_SOLE_HOLDER_MILLISECONDS;
      if (overdueMilliseconds >= 0) scarce.push({ chunk, holder, overdueMilliseconds });
    }
    return scarce;
  }
}
