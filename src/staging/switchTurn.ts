/** Decides when a box may begin to switch versions, so that enough others serve meanwhile. Pure. */
import { LAST_SEND_MARGIN_MILLISECONDS } from '../protocol/versionMargins.js';

/**
 * Where a box stands on the way to a version: `staged` when it is whole or nearly so, `preparing` when it gets fewer
 * requests, `switching` when it gets none.
 */
export type SwitchStage = 'staging' | 'staged' | 'preparing' | 'switching' | 'serving';

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

/** How long a box prepares: about half of the streams that it holds end meanwhile and need not be handed over. */
export const PREPARING_MILLISECONDS = 450;
/** From the beginning of the preparation to serving the new version, as measured on the users' bench. */
const TURN_MILLISECONDS = 1_100;
/** The last box begins this long before the bound, so that it is nearly back when entries send no more to the older version. */
const LAST_CALL_MILLISECONDS = LAST_SEND_MARGIN_MILLISECONDS + 300;
/** Largest part of the boxes that take their turns at the same time while there is time left. */
const LARGEST_SHARE = 0.4;
/** A box that has not taken its turn for so long may be dead: the next one goes on. */
const MISSED_TURN_MILLISECONDS = 400;
/** Longest time between two boxes that begin. */
const LONGEST_GAP_MILLISECONDS = 250;
/** A turn that takes so long is stuck, and keeps nobody else waiting. */
const STUCK_MILLISECONDS = 3_000;

/**
 * Whether `box`, which is whole or nearly so, may begin its turn. As few boxes as the time left allows take their turns
 * at the same time, and they begin one after the other, so that the streams that they hand over do not meet on the
 * others all at once.
 */
export function maySwitch(situation: SwitchSituation): boolean {
  const { box, peers, order, leftMilliseconds } = situation;
  const spare = leftMilliseconds - LAST_CALL_MILLISECONDS;
  if (spare <= 0) return true;
  const busy = peers.filter(isTakingItsTurn);
  const waiting = peers.filter((peer) => peer.stage === 'staged' || peer.stage === 'staging').length + 1;
  if (busy.length >= placesFor(waiting, spare, peers.length + 1)) return false;
  const rank = order.indexOf(box);
  const before = peers.filter((peer) => peer.stage === 'staged' && order.indexOf(peer.box) < rank);
  const gap = Math.min(LONGEST_GAP_MILLISECONDS, spare / waiting);
  const least = before.length > 0 ? gap + MISSED_TURN_MILLISECONDS : gap;
  return [...busy, ...before].every((peer) => startedFor(peer) >= least);
}

/** How many boxes have to take their turns at the same time so that all that wait make it. */
function placesFor(waiting: number, spareMilliseconds: number, boxes: number): number {
  const needed = Math.ceil((waiting * TURN_MILLISECONDS) / spareMilliseconds);
  const most = Math.max(1, Math.floor(boxes * LARGEST_SHARE));
  return Math.min(needed, most);
}

function isTakingItsTurn(peer: SwitchPeer): boolean {
  return startedFor(peer) < STUCK_MILLISECONDS && (peer.stage === 'preparing' || peer.stage === 'switching');
}

/** Milliseconds since the peer's turn began, or since it has been waiting for it. */
function startedFor({ stage, stageMilliseconds }: SwitchPeer): number {
  return stage === 'switching' ? stageMilliseconds + PREPARING_MILLISECONDS : stageMilliseconds;
}

/** How a server stands whose entries have been told that it is about to switch. */
export interface SwitchNotice {
  /** Milliseconds since they were told. */
  noticeMilliseconds: number;
  /** Requests that the server has and has not begun. */
  waiting: number;
}

/** Time in which entries hear the notice, and requests that crossed it arrive: some 20 ms each, with a margin. */
const SHORTEST_NOTICE_MILLISECONDS = 100;
/** Time in which requests that crossed the notice have begun but for a few; waiting longer would cost too much. */
const LONGEST_NOTICE_MILLISECONDS = 300;

/**
 * Whether the server may be ordered to take its next version. A request that has not begun by then would begin later if
 * anything holds the box up at this moment, and that may be after the bound of its version.
 */
export function mayOrder({ noticeMilliseconds, waiting }: SwitchNotice): boolean {
  if (noticeMilliseconds >= LONGEST_NOTICE_MILLISECONDS) return true;
  return waiting === 0 && noticeMilliseconds >= SHORTEST_NOTICE_MILLISECONDS;
}
