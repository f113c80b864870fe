/** Which box draws which chunk from the origin, and when another steps in. Pure. */
import type { Member } from '../protocol/rolloutMessages.js';
import { compareText, rendezvousOrder } from '../utils/rendezvous.js';

/**
 * How long a box may bring nothing before another one draws its chunks too, in milliseconds. Twelve boxes that share an
 * origin of 9.9 Mbit/s each bring a chunk of 32 KB every 320 ms.
 */
export const DRAW_TURN_MILLISECONDS = 900;

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

/** The box whose turn it is to draw `chunk` when the first one has brought nothing for `elapsed` milliseconds. */
export function drawerOf(order: readonly string[], chunk: number, elapsed: number): string | undefined {
  if (order.length === 0) return undefined;
  const turn = Math.floor(Math.max(0, elapsed) / DRAW_TURN_MILLISECONDS);
  const drawers = turn < FIRST_TURNS ? firstDrawers(order) : order;
  return drawers[(chunk + turn) % drawers.length];
}

/** Notes which boxes bring the chunks that they are to draw. */
export class DrawProgress {
  private readonly _startedAt: number;
  private readonly _broughtAt = new Map<string, number>();
  private _unseen: ReadonlySet<number>;

  /** `chunks` is how many there are, all of them unseen. */
  constructor(chunks: number, startedAt: number) {
    this._unseen = new Set(Array.from({ length: chunks }, (_unused, chunk) => chunk));
    this._startedAt = startedAt;
  }

  /** Takes the chunks that are nowhere yet. */
  update(order: readonly string[], unseen: readonly number[], now: number): void {
    const still = new Set(unseen);
    for (const chunk of this._unseen) {
      const drawer = drawerOf(order, chunk, 0);
      if (!still.has(chunk) && drawer !== undefined) this._broughtAt.set(drawer, now);
    }
    this._unseen = still;
  }

  /** Milliseconds for which the box that is first to draw `chunk` has brought nothing. */
  silentFor(order: readonly string[], chunk: number, now: number): number {
    const drawer = drawerOf(order, chunk, 0) ?? '';
    return now - Math.max(this._startedAt, this._broughtAt.get(drawer) ?? 0);
  }
}
