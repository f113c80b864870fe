/** Drains the callers of an entry that is shutting down. */
import type { Clock } from '../utils/clock.js';
import { pause } from '../utils/timers.js';

/** The parts of an entry that a drain needs. */
export interface DrainingEntry {
  clock: Clock;
  /** Total time for the drain. */
  drainMilliseconds: number;
  /** Number of admitted requests that have not ended. */
  running: () => number;
  stopListening: () => Promise<void>;
}

/**
 * Share of the drain time for which new connections are accepted, since callers may use the address of the entry
 * for up to three times the time that the directory's answer tells them to keep it.
 */
const LISTEN_SHARE = 0.72;
/** Share of the drain time after which all connections are closed. */
const CLOSE_SHARE = 0.95;
const POLL_MILLISECONDS = 50;
/** Allowance for the first request on a connection that was accepted last, also when either process is slow. */
const FIRST_REQUEST_MILLISECONDS = 200;

/** Latest end of a drain that begins now, in monotonic milliseconds. */
export function drainDeadline({ clock, drainMilliseconds }: DrainingEntry): number {
  return clock.now() + drainMilliseconds * CLOSE_SHARE;
}

/** Accepts connections for most of the drain time, then waits for the running requests to end. */
export async function drainCallers(entry: DrainingEntry): Promise<void> {
  const { clock, drainMilliseconds, running, stopListening } = entry;
  const endsAt = drainDeadline(entry);
  const listensUntil = clock.now() + drainMilliseconds * LISTEN_SHARE;
  while (clock.now() < listensUntil) await pause(POLL_MILLISECONDS);
  await stopListening();
  await pause(FIRST_REQUEST_MILLISECONDS);
  while (running() > 0 && clock.now() < endsAt) await pause(POLL_MILLISECONDS);
}
