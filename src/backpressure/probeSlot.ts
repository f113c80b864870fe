/** When an entry without a share of a limit may ask the server whether it still holds. Pure. */

/** How long an entry may ask, at most once. */
const SLOT_MILLISECONDS = 2_000;
/** Of so many milliseconds for each entry: of all entries without a share few may ask at the same time, whoever has callers. */
const MILLISECONDS_PER_ENTRY = 8_000;

export interface ProbeSchedule {
  /** Monotonic milliseconds. */
  now: number;
  /** How many entries there are. */
  entries: number;
  /** Where in the turn of all this entry stands, from 0 up to 1. */
  phase: number;
  /** Monotonic milliseconds at which it asked last. */
  askedAt: number;
}

/** Milliseconds until the entry may ask, 0 when it may now. */
export function millisecondsUntilProbe({ now, entries, phase, askedAt }: ProbeSchedule): number {
  const period = MILLISECONDS_PER_ENTRY * Math.max(1, entries);
  const position = (now + phase * period) % period;
  const isInSlot = position < SLOT_MILLISECONDS;
  const hasAsked = now - askedAt < SLOT_MILLISECONDS;
  return isInSlot && !hasAsked ? 0 : period - position;
}
