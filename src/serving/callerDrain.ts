/** How a leaving entry lets go of its callers. */
import type { Clock } from '../utils/clock.js';
import { pause } from '../utils/timers.js';

/** What a leaving entry is to its drain. */
export interface DrainingEntry {
  clock: Clock;
  /** Time for all of it, in milliseconds. */
  drainMilliseconds: number;
  /** Requests that have been admitted and have not ended. */
  running: () => number;
  stopListening: () => Promise<void>;
}

/** How long a leaving entry takes new connections: callers may keep its address for three times as long as told. */
const LISTEN_SHARE = 0.72;
/** Part of the time after which all connections are closed. */
const CLOSE_SHARE = 0.95;
const POLL_MILLISECONDS = 50;
/** Within this time after a connection is opened its first request comes, also where either side is slow to run. */
const FIRST_REQUEST_MILLISECONDS = 200;

/** When a drain that begins now ends at the latest, in monotonic milliseconds. */
export function drainDeadline({ clock, drainMilliseconds }: DrainingEntry): number {
  return clock.now() + drainMilliseconds * CLOSE_SHARE;
}

/** Takes connections for most of the time, then lets requests in flight end. */
export async function drainCallers(entry: DrainingEntry): Promise<void> {
  const { clock, drainMilliseconds, running, stopListening } = entry;
  const endsAt = drainDeadline(entry);
  const listensUntil = clock.now() + drainMilliseconds * LISTEN_SHARE;
  while (clock.now() < listensUntil) await pause(POLL_MILLISECONDS);
  await stopListening();
  await pause(FIRST_REQUEST_MILLISECONDS);
  while (running() > 0 && clock.now() < endsAt) await pause(POLL_MILLISECONDS);
}
