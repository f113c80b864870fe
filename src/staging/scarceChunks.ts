/** Finds chunks that stay at a single box, whose link is too narrow to hand them on in time. */

/**
 * How long a chunk may be known to be at one box only, in milliseconds. A box that is well hands the five or six chunks
 * that it draws on to all data centres within a second.
 */
const LONGEST_MILLISECONDS = 1_200;

/** A chunk that stays at a single box. */
export interface ScarceChunk {
  chunk: number;
  holder: string;
  /** Milliseconds for which it has been scarce beyond what is usual. */
  overdueMilliseconds: number;
}

export class ScarceChunks {
  private readonly _since = new Map<number, number>();

  /** Takes the missing chunks that one box is known to hold; returns those of which it has been the only one for long. */
  update(soleHolders: ReadonlyMap<number, string>, now: number): ScarceChunk[] {
    for (const chunk of this._since.keys()) if (!soleHolders.has(chunk)) this._since.delete(chunk);
    const scarce: ScarceChunk[] = [];
    for (const [chunk, holder] of soleHolders) {
      const since = this._since.get(chunk) ?? now;
      this._since.set(chunk, since);
      const overdueMilliseconds = now - since - LONGEST_MILLISECONDS;
      if (overdueMilliseconds >= 0) scarce.push({ chunk, holder, overdueMilliseconds });
    }
    return scarce;
  }
}
