/** Rendezvous (highest random weight) hashing: every process ranks the same candidates alike. */
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

/** Orders two strings by code unit, the same on every machine. */
export function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
