/**
 * One order of all that a store says, also over its returns from an older copy. The store gives revisions out again then, and its
 * era rises: the era counts first, the store's own revision second.
 */

/** A revision as the store itself tells it. */
export interface StoreRevision {
  /** How often the store has come back from an older copy, counted from any start. */
  era: number;
  /** Rises with each change within an era. */
  number: number;
}

const NUMBERS_PER_ERA = 2 ** 40;
/** A later era has no place in the order. */
export const LAST_ERA = 2 ** 13 - 1;

/** The place of a revision in the order; 0 comes before all. */
export function orderedRevision({ era, number }: StoreRevision): number {
  return era * NUMBERS_PER_ERA + number;
}

/** What the store told, by its place in the order. */
export function storeRevisionOf(revision: number): StoreRevision {
  const era = eraOf(revision);
  return { era, number: revision - era * NUMBERS_PER_ERA };
}

export function eraOf(revision: number): number {
  return Math.floor(revision / NUMBERS_PER_ERA);
}

/** A revision as the fields of a log line. */
export function revisionFields(ordered: number): { era: number; revision: number } {
  const { era, number } = storeRevisionOf(ordered);
  return { era, revision: number };
}

/** The place before all changes of the era of `revision`. */
export function startOfEra(revision: number): number {
  return orderedRevision({ era: eraOf(revision), number: 0 });
}
