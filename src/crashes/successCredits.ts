/**
 * Counts the requests that recently completed successfully on this entry. When a server exits while it runs one of
 * them, the cause is probably another request.
 */
import { LRUCache } from 'lru-cache';

const MAX_REQUESTS = 4_096;
/**
 * Server exits that earlier successes can offset. A request that turns harmful, for example with a new version of the
 * weights, costs at most this many servers before it is suspected.
 */
const MAX_CREDIT = 3;

export class SuccessCredits {
  private readonly _credits = new LRUCache<string, number>({ max: MAX_REQUESTS });

  /** Adds a credit for a request that completed successfully. */
  add(fingerprint: string): void {
    this._credits.set(fingerprint, Math.min(MAX_CREDIT, (this._credits.get(fingerprint) ?? 0) + 1));
  }

  /** Spends one credit; returns whether there was one, so that a server exit does not count against the request. */
  spend(fingerprint: string): boolean {
    const credit = this._credits.get(fingerprint) ?? 0;
    if (credit > 0) this._credits.set(fingerprint, credit - 1);
    return credit > 0;
  }
}
