/**
 * Decides which box fetches which chunk from the origin, and when another box takes the fetch over. Log lines and
 * messages call an origin fetch a draw. All boxes compute the same order from the same members.
 */
import type { Member } from '../protocol/rolloutMessages.js';
import { orderAcrossDataCentres } from '../utils/dataCentreOrder.js';
import { exchangeGateways } from '../weights/exchangeTopology.js';

/**
 * If a box finishes no chunk for this long, another box fetches its chunks too. Twelve boxes that share an origin link
 * of 9.9 Mbit/s each finish a chunk of 32 KB every 320 ms.
 */
export const ORIGIN_FETCH_TURN_MILLISECONDS = 900;

/**
 * Returns the boxes in the order in which they switch. Data centres alternate, so that each has its share of early
 * boxes.
 */
export function switchOrder(rollout: string, members: readonly Member[]): string[] {
  return orderAcrossDataCentres(rollout, members).map((member) => member.box);
}

/**
 * Returns the boxes in the order in which they fetch from the origin. Boxes that exchange chunks with other data
 * centres come first: a chunk that any other box fetches is announced to other data centres up to 2 s later, with the
 * next refresh.
 */
export function originFetchOrder(rollout: string, members: readonly Member[]): string[] {
  const gateways = new Set(exchangeGateways(members));
  const others = members.filter((member) => !gateways.has(member));
  return [...switchOrder(rollout, [...gateways]), ...switchOrder(rollout, others)];
}

/**
 * Returns the boxes of a data centre in the order in which they fetch chunks again that are at a single box. Only those
 * that exchange chunks with other data centres know of a holder there: when the others had turns as well, a data centre
 * waited up to 3.6 s longer for a chunk of a throttled box elsewhere.
 */
export function scarceFetchOrder(
  rollout: string,
  members: readonly Member[],
  dataCentre: string | undefined,
): string[] {
  const gateways = exchangeGateways(members).filter((member) => member.dataCentre === dataCentre);
  return switchOrder(rollout, gateways);
}

/**
 * Number of boxes that fetch from the origin at first. With more boxes, each would have a smaller share of the origin's
 * link, so that the first chunks would arrive later, and the origin might not accept as many connections.
 */
const INITIAL_ORIGIN_FETCHERS = 12;
/** Turns after which any box may take over, since the initial origin fetchers seem to be gone. */
const INITIAL_TURNS = 3;

/** Returns the boxes that fetch from the origin while they are reachable. */
export function initialOriginFetchers(order: readonly string[]): string[] {
  return order.slice(0, INITIAL_ORIGIN_FETCHERS);
}

/** Placeholder for a lost origin fetcher without a substitute; the others share its chunks. */
const NO_BOX = '';

/**
 * Returns the order with each `lost` initial origin fetcher replaced by a box that does not fetch from the origin yet,
 * or by a placeholder if there is none. All others keep their positions, and so the chunks that they are fetching.
 * Removing the lost box from the order instead assigned nearly every chunk to another box when the former one had
 * fetched half of it: when one of nine boxes was killed during its fetches, the origin sent 2.4 copies of two versions
 * instead of 2.1.
 */
export function replaceLostOriginFetchers(order: readonly string[], lost: ReadonlySet<string>): string[] {
  const spare = order.slice(INITIAL_ORIGIN_FETCHERS).filter((box) => !lost.has(box));
  const boxes = initialOriginFetchers(order).map((box) => (lost.has(box) ? (spare.shift() ?? NO_BOX) : box));
  return [...boxes, ...spare];
}

/**
 * Returns the box that is to fetch `chunk` from the origin, given that the first box assigned to the chunk has finished
 * none for `elapsed` milliseconds.
 */
export function originFetcherOf(
  order: readonly string[],
  chunk: number,
  elapsed: number,
): string | undefined {
  if (order.length === 0) return undefined;
  const turn = Math.floor(Math.max(0, elapsed) / ORIGIN_FETCH_TURN_MILLISECONDS);
  const fetchers = turn < INITIAL_TURNS ? initialOriginFetchers(order) : order;
  const fetcher = fetchers[(chunk + turn) % fetchers.length];
  if (fetcher !== NO_BOX) return fetcher;
  const reachable = fetchers.filter((box) => box !== NO_BOX);
  return reachable[Math.floor(chunk / fetchers.length) % reachable.length];
}

/** Tracks when each box last finished a chunk that it was to fetch from the origin. */
export class OriginFetchProgress {
  private readonly _startedAt: number;
  private readonly _lastFinishedAt = new Map<string, number>();
  private _unseen: ReadonlySet<number>;

  /** `chunks` is the number of chunks; all of them start as unseen. */
  constructor(chunks: number, startedAt: number) {
    this._unseen = new Set(Array.from({ length: chunks }, (_unused, chunk) => chunk));
    this._startedAt = startedAt;
  }

  /** Updates the unseen chunks: those that neither this box nor a neighbour has yet. */
  update(order: readonly string[], unseen: readonly number[], now: number): void {
    const still = new Set(unseen);
    for (const chunk of this._unseen) {
      const fetcher = originFetcherOf(order, chunk, 0);
      if (!still.has(chunk) && fetcher !== undefined) this._lastFinishedAt.set(fetcher, now);
    }
    this._unseen = still;
  }

  /** Returns the milliseconds for which the first box assigned to `chunk` has finished no chunk. */
  millisecondsWithoutProgress(order: readonly string[], chunk: number, now: number): number {
    const fetcher = originFetcherOf(order, chunk, 0) ?? '';
    return now - Math.max(this._startedAt, this._lastFinishedAt.get(fetcher) ?? 0);
  }
}
