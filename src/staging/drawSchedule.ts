/** Which box draws which chunk from the origin, and when another steps in. Pure. */
import type { Member } from '../protocol/rolloutMessages.js';
import { compareText, rendezvousOrder } from '../utils/rendezvous.js';

/** How long one box has for its draws before the next one steps in, in milliseconds. */
export const DRAW_TURN_MILLISECONDS = 1_600;

/** Boxes in an order that all processes work out alike, halls in turn so that each hall draws its share. */
export function drawOrder(rollout: string, members: readonly Member[]): string[] {
  const halls = [...new Set(members.map((member) => member.hall))].sort(compareText);
  const byHall = halls.map((hall) => {
    const inHall = members.filter((member) => member.hall === hall);
    return rendezvousOrder(rollout, inHall, (member) => member.box).map((member) => member.box);
  });
  const longest = Math.max(0, ...byHall.map((boxes) => boxes.length));
  const order: string[] = [];
  for (let rank = 0; rank < longest; rank++) {
    for (const boxes of byHall) if (boxes[rank] !== undefined) order.push(boxes[rank]);
  }
  return order;
}

/**
 * Boxes that draw at first. More of them would each have a smaller part of the origin's link, so that the first chunks came
 * later, and may be more than the origin takes connections.
 */
const FIRST_DRAWERS = 12;
/** Turns after which any box may step in, since the first drawers seem to be gone. */
const FIRST_TURNS = 3;

/** The boxes that draw from the origin, unless they are gone. */
export function firstDrawers(order: readonly string[]): string[] {
  return order.slice(0, FIRST_DRAWERS);
}

/** The box whose turn it is to draw `chunk`, `elapsed` milliseconds after the version was named. */
export function drawerOf(order: readonly string[], chunk: number, elapsed: number): string | undefined {
  if (order.length === 0) return undefined;
  const turn = Math.floor(Math.max(0, elapsed) / DRAW_TURN_MILLISECONDS);
  const drawers = turn < FIRST_TURNS ? firstDrawers(order) : order;
  return drawers[(chunk + turn) % drawers.length];
}
