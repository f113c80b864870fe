/**
 * Computes how many slots of a server a request leaves to more urgent ones. Answers the load pattern in which late work
 * and less urgent ranks take the slots of requests that could still be answered in time. Pure functions.
 */
import type { Precedence } from './admissionPolicy.js';

/** Mean fill of the servers above which slots are reserved, and above which all of the reservation applies. */
export const FIRST_PRESSURE = 0.75;
const FULL_PRESSURE = 0.95;
/** Share of the slots that a rank leaves to the ranks before it, and that all ranks together leave at most. */
const RANK_SHARE = 0.1;
const MAX_RANKS_SHARE = 0.25;
/** Share of the slots that late requests leave to those on time. It is above {@link MAX_RANKS_SHARE}. */
const LATE_SHARE = 0.3;

/** How short slots are, from 0 (no shortage) to 1; grows smoothly with the mean fill of the servers. */
export function shortage(pressure: number): number {
  const position = (pressure - FIRST_PRESSURE) / (FULL_PRESSURE - FIRST_PRESSURE);
  const bounded = Math.min(1, Math.max(0, position));
  return bounded * bounded * (3 - 2 * bounded);
}

/** Share of a server's slots that a request with this precedence leaves free; `ranks` is the number of ranks. */
export function reservedShare({ timeliness, rank }: Precedence, ranks: number, pressure: number): number {
  const perRank = Math.min(RANK_SHARE, MAX_RANKS_SHARE / Math.max(1, ranks - 1));
  const late = timeliness === 'late' ? LATE_SHARE : 0;
  return shortage(pressure) * (late + rank * perRank);
}
