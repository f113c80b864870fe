/** Which boxes of a rollout exchange chunks with each other. */
import type { Member } from '../protocol/rolloutMessages.js';

/** A box that exchanges chunks with this one. */
export interface Neighbour {
  member: Member;
  crossDataCentre: boolean;
}

/** The neighbours of one box in a rollout. */
export interface Topology {
  readonly neighbours: readonly Neighbour[];
  /**
   * The boxes of the own data centre that may fetch a chunk from another data centre. Each takes over if those before
   * it do not fetch the chunk in time. Undefined if every box may fetch from every neighbour.
   */
  importers(chunk: number): readonly string[] | undefined;
}

/** Determines the topology of a rollout. Every process computes the same result from the same members. */
export interface TopologyPolicy {
  /** Returns the topology from the view of `box`, one of `members`. */
  topologyOf(box: string, members: readonly Member[]): Topology;
  /**
   * Assigns the `missing` chunks to the boxes that fetch them from the origin. More boxes fetch at the same time for a
   * larger `weight`, which determines the rollout's share of the origin's link.
   */
  initialOriginFetches(
    missing: readonly number[],
    members: readonly Member[],
    weight: number,
  ): Map<string, number[]>;
}
