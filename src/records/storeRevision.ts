/**
 * A total order of a store's revisions. After a rollback to an older snapshot the store assigns the same revision
 * numbers again, but in a new generation, so revisions are ordered by generation first.
 */

/** A revision as the store reports it. */
export interface StoreRevision {
  /** Increases with each rollback. */
  generation: number;
  /** Increases with each change within a generation. */
  number: number;
}

const NUMBERS_PER_GENERATION = 2 ** 40;
/** The last generation whose ordered revisions are safe integers. */
export const LAST_GENERATION = 2 ** 13 - 1;

/** Encodes a revision as a number, so that numbers compare in the order of revisions; 0 comes before all. */
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

/** Returns an ordered revision as fields of a log line. */
export function revisionFields(ordered: number): { generation: number; revision: number } {
  const { generation, number } = storeRevisionOf(ordered);
  return { generation, revision: number };
}

/** Returns the ordered revision before all changes in the generation of `revision`. */
export function startOfGeneration(revision: number): number {
  return orderedRevision({ generation: generationOf(revision), number: 0 });
}
