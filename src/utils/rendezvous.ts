/** Rendezvous (highest random weight) hashing: every process computes the same ranking of the same candidates. */
import { placementHash } from './hash.js';

/** Returns `candidates` ordered by their rank for `key`, best first. */
export function rendezvousOrder<T>(
  key: string,
  candidates: readonly T[],
  nameOf: (candidate: T) => string,
): T[] {
  const scored = candidates.map((candidate) => ({ candidate, score: placementHash(key, nameOf(candidate)) }));
  scored.sort((a, b) => b.score - a.score || compareText(nameOf(a.candidate), nameOf(b.candidate)));
  return scored.map((item) => item.candidate);
}

/** Compares two strings by code units, so that the order does not depend on the locale of the machine. */
export function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
