/** Chooses the entries with which an entry replicates. All functions are pure. */
import type { Box } from '../external/boxList.js';
import { compareText, rendezvousOrder } from '../utils/rendezvous.js';

/** Up to this number of entries, each is connected to every other. */
const FULL_MESH_ENTRIES = 8;
/** With more entries, the number of peers in its own data centre that each entry connects to. */
const OWN_DATA_CENTRE_PEERS = 2;
/** With more entries, the number of peers in other data centres that each entry connects to. */
const OTHER_DATA_CENTRE_PEERS = 2;

/** Returns the entries that `self` connects to. Other entries may connect to it in addition. */
export function replicationPeers(self: Box, entries: readonly Box[]): Box[] {
  const others = entries.filter((entry) => entry.box !== self.box);
  if (entries.length <= FULL_MESH_ENTRIES)
    return others.filter((entry) => compareText(self.box, entry.box) < 0);
  const successor = ringSuccessor(self, entries);
  const ordered = rendezvousOrder(self.box, others, (entry) => entry.box);
  const own = ordered.filter((entry) => entry.dataCentre === self.dataCentre).slice(0, OWN_DATA_CENTRE_PEERS);
  const other = ordered
    .filter((entry) => entry.dataCentre !== self.dataCentre)
    .slice(0, OTHER_DATA_CENTRE_PEERS);
  return [...new Set([successor, ...own, ...other])];
}

/** Returns the next entry by name; after the last one, the first. This ring keeps the graph of entries connected. */
function ringSuccessor(self: Box, entries: readonly Box[]): Box {
  const ordered = [...entries].sort((a, b) => compareText(a.box, b.box));
  const position = ordered.findIndex((entry) => entry.box === self.box);
  return ordered[(position + 1) % ordered.length];
}

/** Number of entries per data centre that watch the object API. With two, the loss of one delays no changes. */
const WATCHERS_PER_DATA_CENTRE = 2;

/** Whether `self` is one of the entries of its data centre that watch the object API. */
export function isWatcher(self: Box, entries: readonly Box[]): boolean {
  const ofDataCentre = entries.filter(
    (entry) => entry.dataCentre === self.dataCentre && entry.state === 'live',
  );
  const watchers = rendezvousOrder('watch', ofDataCentre, (entry) => entry.box).slice(
    0,
    WATCHERS_PER_DATA_CENTRE,
  );
  return watchers.some((entry) => entry.box === self.box);
}
