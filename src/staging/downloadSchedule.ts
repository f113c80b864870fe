/** Which box draws which chunk from the origin, and when another steps in. Pure. */
import type { Member } from '../protocol/rolloutMessages.js';
import { orderAcrossDataCentres } from '../utils/dataCentreOrder.js';
import { exchangeGateways } from '../weights/exchangeTopology.js';

/**
 * How long a box may bring nothing before another one draws its chunks too, in milliseconds. Twelve boxes that share an
 * origin of 9.9 Mbit/s each bring a chunk of 32 KB every 320 ms.
 */
export const DOWNLOAD_TURN_MILLISECONDS = 900;

/** Boxes in the order in which they switch, data centres in turn so that each of them has its share of early ones. */
export function switchOrder(rollout: string, members: readonly Member[]): string[] {
  return orderAcrossDataCentres(rollout, members).map((member) => member.box);
}

/**
 * Boxes in the order in which they draw: those that exchange with other data centres come first. What another one draws is
 * announced there with the next refresh only, up to 2 s later.
 */
export function downloadOrder(rollout: string, members: readonly Member[]): string[] {
  const gateways = new Set(exchangeGateways(members));
  const others = members.filter((member) => !gateways.has(member));
  return [...switchOrder(rollout, [...gateways]), ...switchOrder(rollout, others)];
}

/**
 * Boxes that draw at first. More of them would each have a smaller part of the origin's link, so that the first chunks came
 * later, and may be more than the origin takes connections.
 */
const FIRST_DRAWERS = 12;
/** Turns after which any box may step in, since the first drawers seem to be gone. */
const FIRST_TURNS = 3;

/** The boxes that draw from the origin, unless they are gone. */
export function initialDownloaders(order: readonly string[]): string[] {
  return order.slice(0, FIRST_DRAWERS);
}

/** The place of a lost drawer that no box takes: the others share its chunks. */
const NOBODY = '';

/**
 * The same order where boxes are `lost`: each of the first drawers that is has its place taken by a box that does not draw yet,
 * or where there is none by nobody. All others keep their places, and with them the chunks that they are drawing: an order that
 * closes up gave nearly every chunk another drawer while the one before had it half, and the origin sent 2.4 copies of two
 * versions in place of 2.1 on a day on which one of nine boxes was killed amid a draw.
 */
export function replaceLostDownloaders(order: readonly string[], lost: ReadonlySet<string>): string[] {
  const spare = order.slice(FIRST_DRAWERS).filter((box) => !lost.has(box));
  const places = initialDownloaders(order).map((box) => (lost.has(box) ? (spare.shift() ?? NOBODY) : box));
  return [...places, ...spare];
}

/** The box whose turn it is to draw `chunk` when the first one has brought nothing for `elapsed` milliseconds. */
export function downloaderOf(order: readonly string[], chunk: number, elapsed: number): string | undefined {
  if (order.length === 0) return undefined;
  const turn = Math.floor(Math.max(0, elapsed) / DOWNLOAD_TURN_MILLISECONDS);
  const drawers = turn < FIRST_TURNS ? initialDownloaders(order) : order;
  const drawer = drawers[(chunk + turn) % drawers.length];
  if (drawer !== NOBODY) return drawer;
  const sound = drawers.filter((box) => box !== NOBODY);
  return sound[Math.floor(chunk / drawers.length) % sound.length];
}

/** Notes which boxes bring the chunks that they are to draw. */
export class DownloadProgress {
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
      const drawer = downloaderOf(order, chunk, 0);
      if (!still.has(chunk) && drawer !== undefined) this._broughtAt.set(drawer, now);
    }
    this._unseen = still;
  }

  /** Milliseconds for which the box that is first to draw `chunk` has brought nothing. */
  millisecondsWithoutProgress(order: readonly string[], chunk: number, now: number): number {
    const drawer = downloaderOf(order, chunk, 0) ?? '';
    return now - Math.max(this._startedAt, this._broughtAt.get(drawer) ?? 0);
  }
}
