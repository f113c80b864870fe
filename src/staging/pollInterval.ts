/** How often an agent polls the status of its backend server. Pure functions. */
import type { LocalBackendStatus } from './localBackend.js';
import type { SwitchPhase } from './switchTurn.js';

/** Usual interval. The load that the agent sends to the entries, which choose a server by it, may be this old. */
export const POLL_MILLISECONDS = 120;
/**
 * Interval while the box prepares or switches, so that the agent learns soon when it may send the order and when
 * the server serves.
 */
export const SWITCHING_POLL_MILLISECONDS = 40;
/**
 * Interval for a server without requests: nothing but new requests changes its load, and entries know those they
 * send.
 */
const IDLE_POLL_MILLISECONDS = 360;

/** Returns the milliseconds between two polls; `status` is the last status of the backend server. */
export function pollInterval(phase: SwitchPhase, status: LocalBackendStatus | undefined): number {
  if (phase === 'preparing' || phase === 'switching') return SWITCHING_POLL_MILLISECONDS;
  const isIdle = status !== undefined && status.running + status.queued === 0;
  return phase === 'serving' && isIdle ? IDLE_POLL_MILLISECONDS : POLL_MILLISECONDS;
}

/**
 * Returns the milliseconds until the next round of checks, `sincePoll` milliseconds after the last poll. Only a box that
 * stages or switches a version has anything to do between two polls.
 */
export function roundInterval(
  phase: SwitchPhase,
  status: LocalBackendStatus | undefined,
  sincePoll: number,
): number {
  if (phase === 'staging') return POLL_MILLISECONDS;
  if (phase !== 'serving') return SWITCHING_POLL_MILLISECONDS;
  return Math.max(1, pollInterval(phase, status) - sincePoll);
}
