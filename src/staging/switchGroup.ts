/** With which boxes of its service a box keeps in touch, and with which it takes turns at switching. Pure. */
import type { Member } from '../protocol/rolloutMessages.js';
import { topologyPolicy } from '../weights/topologies.js';

/** Up to so many boxes, all of them know each other and take their turns together. */
const MOST_BOXES_FOR_ALL = 40;
/** Boxes of a data centre that all know each other; in a larger one only those that exchange chunks do. */
const MOST_BOXES_OF_DATA_CENTRE = 64;

/** Boxes that take turns at switching, `box` included: with many boxes, those of a data centre, among which its load moves. */
export function switchGroup(box: string, members: readonly Member[]): readonly Member[] {
  if (members.length <= MOST_BOXES_FOR_ALL) return members;
  const own = members.find((member) => member.box === box);
  return own ? members.filter((member) => member.dataCentre === own.dataCentre) : members;
}

/** Other boxes to be connected to. If one box names another here, the other names it too. */
export function connectedPeers(box: string, members: readonly Member[]): Member[] {
  const group = switchGroup(box, members);
  const isSmall = group.length <= MOST_BOXES_OF_DATA_CENTRE;
  const exchanging = topologyPolicy('exchange').topologyOf(box, members).neighbours;
  const peers = new Map([...exchanging.map(({ member }) => member)].map((member) => [member.box, member]));
  if (isSmall) for (const member of group) peers.set(member.box, member);
  peers.delete(box);
  return [...peers.values()];
}
