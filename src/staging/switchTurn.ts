/** Decides when a box may switch versions, so that enough others serve meanwhile. Pure. */

/** Where a box stands on the way to a version. */
export type SwitchStage = 'staging' | 'staged' | 'switching' | 'serving';

/** One box of the service. */
export interface SwitchPeer {
  box: string;
  stage: SwitchStage;
}

/** What a turn depends on. */
export interface SwitchSituation {
  box: string;
  /** All other boxes of the service that are connected. */
  peers: readonly SwitchPeer[];
  /** All boxes in the order in which they switch. */
  order: readonly string[];
  /** Milliseconds until no request may begin on an older version. */
  leftMilliseconds: number;
}

/** Part of the boxes that may switch at the same time. */
const SWITCHING_SHARE = 0.34;
/** A box that switches this late still makes it. */
const LAST_CALL_MILLISECONDS = 1_900;

/** Whether `box`, which has everything staged, may begin to switch. */
export function maySwitch(situation: SwitchSituation): boolean {
  const { box, peers, order, leftMilliseconds } = situation;
  if (leftMilliseconds < LAST_CALL_MILLISECONDS) return true;
  const places = Math.max(1, Math.floor((peers.length + 1) * SWITCHING_SHARE));
  const switching = peers.filter((peer) => peer.stage === 'switching').length;
  const rank = order.indexOf(box);
  const before = peers.filter((peer) => peer.stage === 'staged' && order.indexOf(peer.box) < rank).length;
  return switching + before < places;
}
