/**
 * A total order of a store's revisions. A store that is rolled back to an older snapshot gives revisions out again, and its generation
 * rises: revisions are ordered by generation first.
 */

/** A revision as the store tells it. */
export interface StoreRevision {
  /** Rises with each rollback. */
  generation: number;
  /** Rises with each change within a generation. */
  number: number;
}

const NUMBERS_PER_GENERATION = 2 ** 40;
/** The last one whose ordered revisions are safe integers. */
export const LAST_GENERATION = 2 ** 13 - 1;

/** Encodes a revision as one number that compares as the order does; 0 comes before all. */
export function orderedRevision({ generation, number }: StoreRevision): number {
  return generation * NUMBERS_PER_GENERATION + number;
}

/** Decodes an ordered revision. */
export function storeRevisionOf(revision: number): StoreRevision {
  const generation = generationOf(revision);
  return { generation, number: revision - generation * NUMBERS_PER_GENERATION };
}

export function generationOf(revision: number): number {
  return Math.floor(revision / NUMBERS_PER_GENERATION);
}

/** An ordered revision as the fields of a log line. */
export function revisionFields(ordered: number): { generation: number; revision: number } {
  const { generation, number } = storeRevisionOf(ordered);
  return { generation, revision: number };
}

/** The ordered revision before all changes of the generation of `revision`. */
export function startOfGeneration(revision: number): number {
  return orderedRevision({ generation: generationOf(revision), number: 0 });
}
