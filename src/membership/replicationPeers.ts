/** Which entries an entry replicates with. Pure. */
import type { Box } from '../external/boxList.js';
import { compareText, rendezvousOrder } from '../utils/rendezvous.js';

/** Up to this many entries, every one is connected with every other. */
const FULL_MESH_ENTRIES = 8;
/** Beyond that, the peers that each entry dials: some of its own data centre, some of others. */
const OWN_DATA_CENTRE_PEERS = 2;
const OTHER_DATA_CENTRE_PEERS = 2;

/** Returns the entries that `self` dials; those that dial it come on top. */
export function replicationPeers(self: Box, entries: readonly Box[]): Box[] {
  const others = entries.filter((entry) => entry.box !== self.box);
  if (entries.length <= FULL_MESH_ENTRIES)
    return others.filter((entry) => compareText(self.box, entry.box) < 0);
  const ring = ringSuccessor(self, entries);
  const ordered = rendezvousOrder(self.box, others, (entry) => entry.box);
  const own = ordered.filter((entry) => entry.dataCentre === self.dataCentre).slice(0, OWN_DATA_CENTRE_PEERS);
  const other = ordered
    .filter((entry) => entry.dataCentre !== self.dataCentre)
    .slice(0, OTHER_DATA_CENTRE_PEERS);
  return [...new Set([ring, ...own, ...other])];
}

/** The next entry by name: with it the graph is connected whatever the hashes say. */
function ringSuccessor(self: Box, entries: readonly Box[]): Box {
  const ordered = [...entries].sort((a, b) => compareText(a.box, b.box));
  const position = ordered.findIndex((entry) => entry.box === self.box);
  return ordered[(position + 1) % ordered.length];
}

/** Entries per data centre that keep a watch on the object API; two, so that the loss of one is not noticed. */
const WATCHERS_PER_DATA_CENTRE = 2;

/** Whether `self` is one of its data centre's watchers. */
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
