/** Finds chunks that stay at a single box for too long, since its link is too slow to upload them in time. */

/**
 * How long a chunk may be known at one box only. A box fetches five or six chunks from the origin, and with a working
 * link it uploads them to all data centres within a second.
 */
const MAX_SOLE_HOLDER_MILLISECONDS = 1_200;

/**
 * Further overdue time for each chunk that this box has fetched again already. A box has to fetch one or two of the chunks
 * of a throttled box. If it is to fetch more, all boxes are slow, and each further copy would load the origin's link in
 * vain: on an overloaded machine 78 boxes fetched 88 chunks of 64 again, and the origin sent 2.8 copies.
 */
const WAIT_PER_REFETCH_MILLISECONDS = 400;

/** Whether a box that has fetched `refetched` chunks again may do so with this one. */
export function mayRefetch({ overdueMilliseconds }: ScarceChunk, refetched: number): boolean {
  return overdueMilliseconds >= refetched * WAIT_PER_REFETCH_MILLISECONDS;
}

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
