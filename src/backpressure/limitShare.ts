/** This entry's part of the requests that a backend server takes from all entries together. Pure. */
import type { PlacedBox } from '../utils/dataCentreOrder.js';
import { rendezvousOrder } from '../utils/rendezvous.js';

/** What an entry may send of a limit. */
export interface LimitShare {
  /** Requests a second; 0 for an entry that leaves the server to others. */
  perSecond: number;
  /** How many entries there are. */
  entries: number;
}

/** A limit, and those that share it. */
export interface SharedLimit {
  /** Id of the server. */
  server: string;
  /** Where the server stands. */
  dataCentre: string;
  /** Requests a second of all entries. */
  perSecond: number;
  /** Box of this entry. */
  own: string;
  /** All entries, this one included; undefined while they are not known. */
  entries: readonly PlacedBox[] | undefined;
}

/** Entries that share a limit of less than one request a second. Each may send one at any moment: more would come to a burst. */
const FEWEST_HOLDERS = 2;
/** After a start, so that entries that start together do not each take the whole. */
const ASSUMED_ENTRIES = 16;

/**
 * The part of this entry. Few entries hold a share, so that each is worth something: those of the server's data
 * centre, as far as there are any, in an order that all entries work out alike.
 */
export function limitShare(limit: SharedLimit): LimitShare {
  const { server, dataCentre, perSecond, own, entries } = limit;
  if (!entries) return { perSecond: perSecond / ASSUMED_ENTRIES, entries: ASSUMED_ENTRIES };
  const near = entries.filter((entry) => entry.dataCentre === dataCentre);
  const ranked = rendezvousOrder(server, near.length > 0 ? near : entries, ({ box }) => box);
  const holders = ranked.slice(0, FEWEST_HOLDERS + Math.floor(perSecond));
  const holds = holders.some(({ box }) => box === own);
  return { perSecond: holds ? perSecond / holders.length : 0, entries: entries.length };
}
