/** Schedules when an entry without a share of a limit may probe whether the limit still applies. Pure functions. */

/** Length of an entry's time slot; it may send one probe within it. */
const SLOT_MILLISECONDS = 2_000;
/** The period grows by this much per entry, so that few entries probe at the same time. */
const MILLISECONDS_PER_ENTRY = 8_000;

export interface ProbeSchedule {
  /** Monotonic milliseconds. */
  now: number;
  /** Number of live entries. */
  entries: number;
  /** Position of this entry's slot within the period, from 0 to 1 (exclusive). */
  phase: number;
  /** Monotonic milliseconds of the last request that this entry sent to the server. */
  probedAt: number;
}

/** Milliseconds until the entry may probe; 0 when it may probe now. */
export function millisecondsUntilProbe({ now, entries, phase, probedAt }: ProbeSchedule): number {
  const period = MILLISECONDS_PER_ENTRY * Math.max(1, entries);
  const position = (now + phase * period) % period;
  const isInSlot = position < SLOT_MILLISECONDS;
  const hasProbed = now - probedAt < SLOT_MILLISECONDS;
  return isInSlot && !hasProbed ? 0 : period - position;
}
