/** The addresses that callers are told to use. Pure. */
import type { Box } from '../external/boxList.js';
import { compareText, rendezvousOrder } from '../utils/rendezvous.js';

/** An entry as callers see it. */
export interface EntryAddress {
  hall: string;
  url: string;
}

/** The caller's hall first; within a hall each asker gets an order of its own, so that callers spread. */
export function orderEntries(entries: readonly Box[], hall: string, asker: string): EntryAddress[] {
  const halls = [...new Set(entries.map((entry) => entry.hall))].sort(compareText);
  const far = rendezvousOrder(
    asker,
    halls.filter((other) => other !== hall),
    (other) => other,
  );
  return [hall, ...far].flatMap((each) => {
    const inHall = entries.filter((entry) => entry.hall === each);
    const ordered = rendezvousOrder(asker, inHall, (entry) => entry.box);
    return ordered.map((entry) => ({ hall: entry.hall, url: `http://${entry.address}:${entry.httpPort}` }));
  });
}
