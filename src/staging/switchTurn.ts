/** Decides when a box may switch versions, so that enough others serve meanwhile. Pure. */

/** Where a box stands on the way to a version. */
export type SwitchStage = 'staging' | 'staged' | 'switching' | 'serving';

/** One box of the service. */
export interface SwitchPeer {
  box: string;
  stage: SwitchStage;
  /** Milliseconds for which it has been at this stage. */
  stageMilliseconds: number;
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
/** A box that has not taken its turn for so long may be dead: the next one goes on. */
const MISSED_TURN_MILLISECONDS = 400;
/** Longest time between two boxes that begin to switch. */
const LONGEST_GAP_MILLISECONDS = 250;

/**
 * Whether `box`, which has everything staged, may begin to switch. Boxes begin one after the other, since the streams
 * that they hand over would otherwise meet on the others all at once; the gap is what the time left allows.
 */
export function maySwitch(situation: SwitchSituation): boolean {
  const { box, peers, order, leftMilliseconds } = situation;
  const spare = leftMilliseconds - LAST_CALL_MILLISECONDS;
  if (spare <= 0) return true;
  const switching = peers.filter((peer) => peer.stage === 'switching');
  const places = Math.max(1, Math.floor((peers.length + 1) * SWITCHING_SHARE));
  if (switching.length >= places) return false;
  const rank = order.indexOf(box);
  const before = peers.filter((peer) => peer.stage === 'staged' && order.indexOf(peer.box) < rank);
  const waiting = peers.filter((peer) => peer.stage === 'staged' || peer.stage === 'staging').length + 1;
  const gap = Math.min(LONGEST_GAP_MILLISECONDS, spare / waiting);
  const least = before.length > 0 ? gap + MISSED_TURN_MILLISECONDS : gap;
  return [...switching, ...before].every((peer) => peer.stageMilliseconds >= least);
}
