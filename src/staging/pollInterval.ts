/** How often an agent asks its backend server how it stands. Pure. */
import type { LocalBackendStatus } from './localBackend.js';
import type { SwitchStage } from './switchTurn.js';

/** Entries choose by loads that are at least as old as this. */
export const POLL_MILLISECONDS = 120;
/** On its turn, a box has to notice at once when it may be ordered, and when it serves. */
export const SWITCHING_POLL_MILLISECONDS = 40;
/** A server without requests is asked more seldom: entries know what they send it, and nothing else changes there. */
const IDLE_POLL_MILLISECONDS = 360;

/** Milliseconds between two questions; `status` is what the backend server last said. */
export function pollInterval(stage: SwitchStage, status: LocalBackendStatus | undefined): number {
  if (stage === 'preparing' || stage === 'switching') return SWITCHING_POLL_MILLISECONDS;
  const isIdle = status !== undefined && status.running + status.queued === 0;
  return stage === 'serving' && isIdle ? IDLE_POLL_MILLISECONDS : POLL_MILLISECONDS;
}
