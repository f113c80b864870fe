/** Who exchanges chunks with whom in a rollout. */
import type { Member } from '../protocol/rolloutMessages.js';

/** A peer of a rollout. */
export interface Neighbour {
  member: Member;
  crossDataCentre: boolean;
}

/** One box's place in a rollout. */
export interface Topology {
  readonly neighbours: readonly Neighbour[];
  /**
   * The boxes of the own data centre that fetch a chunk from another data centre, in the order in which they step in for each other;
   * undefined where every box may fetch from every neighbour.
   */
  importers(chunk: number): readonly string[] | undefined;
}

/** Lays out a rollout. Every process computes the same from the same members. */
export interface TopologyPolicy {
  /** The place of `box` among `members`. */
  topologyOf(box: string, members: readonly Member[]): Topology;
  /**
   * Which box draws which of the `missing` chunks from the origin. Rollouts share the origin's link by the number of
   * boxes that draw at the same time, which grows with `weight`.
   */
  initialOriginFetches(
    missing: readonly number[],
    members: readonly Member[],
    weight: number,
  ): Map<string, number[]>;
}
