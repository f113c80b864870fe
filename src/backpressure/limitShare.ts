/** Computes this entry's share of a backend server's request limit. Pure functions. */
import type { PlacedBox } from '../utils/dataCentreOrder.js';
import { rendezvousOrder } from '../utils/rendezvous.js';

/** The share of a limit that one entry may use. */
export interface LimitShare {
  /** Requests per second; 0 when only other entries send to the server. */
  perSecond: number;
  /** Number of live entries. */
  entries: number;
}

/** A limit and the entries that share it. */
export interface SharedLimit {
  /** Id of the server. */
  server: string;
  /** Data centre of the server. */
  dataCentre: string;
  /** Requests per second from all entries together. */
  perSecond: number;
  /** Box of this entry. */
  own: string;
  /** All entries including this one; undefined until they are known. */
  entries: readonly PlacedBox[] | undefined;
}

/**
 * Number of entries that share a limit below one request per second. Each holder can send one request at any time,
 * so more holders could send a burst.
 */
const MIN_HOLDERS = 2;
/** Assumed while the entries are unknown, so that entries that start together do not each take the whole limit. */
const ASSUMED_ENTRIES = 16;

/**
 * Returns the share of this entry. Only a few entries hold a share, so that each share is large enough to be useful.
 * The holders are in the server's data centre if it has entries. All entries compute the same rendezvous order.
 */
export function limitShare(limit: SharedLimit): LimitShare {
  const { server, dataCentre, perSecond, own, entries } = limit;
  if (!entries) return { perSecond: perSecond / ASSUMED_ENTRIES, entries: ASSUMED_ENTRIES };
  const sameDataCentre = entries.filter((entry) => entry.dataCentre === dataCentre);
  const ranked = rendezvousOrder(
    server,
    sameDataCentre.length > 0 ? sameDataCentre : entries,
    ({ box }) => box,
  );
  const holders = ranked.slice(0, MIN_HOLDERS + Math.floor(perSecond));
  const isHolder = holders.some(({ box }) => box === own);
  return { perSecond: isHolder ? perSecond / holders.length : 0, entries: entries.length };
}
