/** Selects the boxes that a box connects to, and those with which it takes turns at switching. Pure functions. */
import type { Member } from '../protocol/rolloutMessages.js';
import { topologyPolicy } from '../weights/topologies.js';

/** Up to this number of boxes, all are connected to each other and take turns as one group. */
const MAX_BOXES_OF_ONE_GROUP = 40;
/**
 * Largest group in which all boxes are connected to each other. In a larger one, only boxes that exchange chunks
 * are.
 */
const MAX_FULLY_CONNECTED_BOXES = 64;

/**
 * Returns the boxes that take turns at switching, `box` included. In a large service these are the boxes of its
 * data centre, to which the load of a switching box moves.
 */
export function switchGroup(box: string, members: readonly Member[]): readonly Member[] {
  if (members.length <= MAX_BOXES_OF_ONE_GROUP) return members;
  const own = members.find((member) => member.box === box);
  return own ? members.filter((member) => member.dataCentre === own.dataCentre) : members;
}

/** Returns the other boxes that `box` connects to. The relation is symmetric. */
export function connectedPeers(box: string, members: readonly Member[]): Member[] {
  const group = switchGroup(box, members);
  const isSmall = group.length <= MAX_FULLY_CONNECTED_BOXES;
  const exchanging = topologyPolicy('exchange').topologyOf(box, members).neighbours;
  const peers = new Map([...exchanging.map(({ member }) => member)].map((member) => [member.box, member]));
  if (isSmall) for (const member of group) peers.set(member.box, member);
  peers.delete(box);
  return [...peers.values()];
}
