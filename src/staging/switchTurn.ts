/** Decides when a box may begin to switch versions, so that enough other boxes serve meanwhile. Pure functions. */
import { LAST_SEND_MARGIN_MILLISECONDS } from '../protocol/versionMargins.js';

/**
 * Phase of a box on its way to serving a version: `staged` once the version is complete or nearly so, `preparing` while
 * entries send the box fewer requests, `switching` while they send it none.
 */
export type SwitchPhase = 'staging' | 'staged' | 'preparing' | 'switching' | 'serving';

/** Another box of the service, and the phase that it last reported. */
export interface SwitchPeer {
  box: string;
  phase: SwitchPhase;
  /** Milliseconds for which it has been in this phase. */
  phaseMilliseconds: number;
}

/** Input of {@link maySwitch}. */
export interface SwitchSituation {
  box: string;
  /** All other boxes of the service that are connected. */
  peers: readonly SwitchPeer[];
  /** All boxes in the order in which they switch. */
  order: readonly string[];
  /** Milliseconds until the version deadline, after which no request may begin on an older version. */
  leftMilliseconds: number;
}

/** How long a box prepares. About half of its streams end in this time and need not be handed over. */
export const PREPARING_MILLISECONDS = 450;
/** Time from the start of the preparation until the box serves the new version. */
const TURN_MILLISECONDS = 1_100;
/**
 * Time before the version deadline at which a box begins whatever the others do, so that it will soon serve the new
 * version when entries stop sending requests to the older one.
 */
const FORCED_START_MILLISECONDS = LAST_SEND_MARGIN_MILLISECONDS + 300;
/** Largest share of the boxes that switch at the same time while there is time left. */
const MAX_SWITCHING_SHARE = 0.4;
/** A box that has not begun its turn within this time may be dead, and the next one begins. */
const MISSED_TURN_MILLISECONDS = 400;
/** Longest time between the starts of two boxes. */
const MAX_GAP_MILLISECONDS = 250;
/** A turn that takes longer than this is stuck, and other boxes no longer wait for it. */
const STUCK_MILLISECONDS = 3_000;

/**
 * Whether `box`, which has the version completely or nearly so, may begin its turn. As few boxes as the remaining
 * time allows switch at the same time. They begin one after the other, so that the streams they hand over do not
 * reach the other boxes all at once.
 */
export function maySwitch(situation: SwitchSituation): boolean {
  const { box, peers, order, leftMilliseconds } = situation;
  const spareMilliseconds = leftMilliseconds - FORCED_START_MILLISECONDS;
  if (spareMilliseconds <= 0) return true;
  const switching = peers.filter(isSwitching);
  const waiting = peers.filter((peer) => peer.phase === 'staged' || peer.phase === 'staging').length + 1;
  if (switching.length >= concurrentSwitches(waiting, spareMilliseconds, peers.length + 1)) return false;
  const rank = order.indexOf(box);
  const before = peers.filter((peer) => peer.phase === 'staged' && order.indexOf(peer.box) < rank);
  const gap = Math.min(MAX_GAP_MILLISECONDS, spareMilliseconds / waiting);
  const minimumMilliseconds = before.length > 0 ? gap + MISSED_TURN_MILLISECONDS : gap;
  return [...switching, ...before].every((peer) => turnAge(peer) >= minimumMilliseconds);
}

/** Returns how many boxes have to switch at the same time so that all waiting boxes switch in time. */
function concurrentSwitches(waiting: number, spareMilliseconds: number, boxes: number): number {
  const needed = Math.ceil((waiting * TURN_MILLISECONDS) / spareMilliseconds);
  const most = Math.max(1, Math.floor(boxes * MAX_SWITCHING_SHARE));
  return Math.min(needed, most);
}

function isSwitching(peer: SwitchPeer): boolean {
  return turnAge(peer) < STUCK_MILLISECONDS && (peer.phase === 'preparing' || peer.phase === 'switching');
}

/** Returns the milliseconds since the peer began its turn, or since it began to wait for its turn. */
function turnAge({ phase, phaseMilliseconds }: SwitchPeer): number {
  return phase === 'switching' ? phaseMilliseconds + PREPARING_MILLISECONDS : phaseMilliseconds;
}

/** State of a server between the notice to the entries that it is about to switch and the order to load. */
export interface SwitchNotice {
  /** Milliseconds since the entries were notified. */
  noticeMilliseconds: number;
  /** Requests that wait at the server and have not begun. */
  waiting: number;
}

/**
 * Time until entries have received the notice and requests sent before that have arrived: about 20 ms each, with a
 * margin.
 */
const MIN_NOTICE_MILLISECONDS = 100;
/**
 * Time until all but a few of the requests that were sent before the notice arrived have begun. Waiting longer would
 * keep the box out of service for too long.
 */
const MAX_NOTICE_MILLISECONDS = 300;

/**
 * Whether the server may be ordered to load its next version. A request that still waits then begins late if the
 * box is delayed at this moment, possibly after the deadline of its version.
 */
export function mayOrder({ noticeMilliseconds, waiting }: SwitchNotice): boolean {
  if (noticeMilliseconds >= MAX_NOTICE_MILLISECONDS) return true;
  return waiting === 0 && noticeMilliseconds >= MIN_NOTICE_MILLISECONDS;
}
