/** Requests that have ended well here lately: when a server ends under one of them, the cause is likely another. */
import { LRUCache } from 'lru-cache';

const MAX_REQUESTS = 4_096;
/**
 * Ends of servers that good ends make up for. A request that has become bad, as after a new version of the weights, costs no
 * more servers than these before it is suspected.
 */
const MAX_CREDIT = 3;

export class SuccessCredits {
  private readonly _credits = new LRUCache<string, number>({ max: MAX_REQUESTS });

  /** A request has ended well. */
  add(fingerprint: string): void {
    this._credits.set(fingerprint, Math.min(MAX_CREDIT, (this._credits.get(fingerprint) ?? 0) + 1));
  }

  /** Whether the request has ended well here often enough to be spared for the end of a server, which counts against it. */
  spend(fingerprint: string): boolean {
    const credit = this._credits.get(fingerprint) ?? 0;
    if (credit > 0) this._credits.set(fingerprint, credit - 1);
    return credit > 0;
  }
}
