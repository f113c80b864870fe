/**
 * Computes the share of the requests that entries send while servers are nearly full. Answers the load pattern in which
 * all entries see the same few free slots in reports that are 150 to 300 ms old, and together send several times as
 * many requests there: these queue at the server until they are late. Pure functions.
 */
import type { FleetLoad, Precedence } from './admissionPolicy.js';

/** Mean fill of the servers up to which all on-time requests of the first rank are sent. */
const UNCONTENDED_PRESSURE = 0.87;
/** How much earlier requests of each further rank are held back, and of all further ranks at most. */
const RANK_STEP = 0.04;
const MAX_RANKS_STEP = 0.1;
/**
 * Exponent by which the share declines above that. With reports that lag by 225 ms and a service time of a second, the
 * load would oscillate above 7; the decline is exponential so that this does not depend on the demand.
 */
const DECLINE = 6;
/** Late requests are held back earlier, so that none is sent when on-time requests begin to be held back. */
const FIRST_LATE_PRESSURE = 0.75;
/** Mean fill above which the loads that entries see differ more by their age than by the servers. */
const SPREAD_PRESSURE = 0.7;

/** Share of the requests with this precedence that are sent at this load: 1 when all are sent. */
export function sentShare(
  { timeliness, rank }: Precedence,
  ranks: number,
  { pressure, entries }: FleetLoad,
): number {
  const step = Math.min(RANK_STEP, MAX_RANKS_STEP / Math.max(1, ranks - 1));
  const excess = Math.max(0, pressure - (UNCONTENDED_PRESSURE - rank * step));
  if (timeliness === 'on-time') return Math.exp(-DECLINE * excess * othersShare(entries));
  const latePosition = (pressure - FIRST_LATE_PRESSURE) / (UNCONTENDED_PRESSURE - FIRST_LATE_PRESSURE);
  return 1 - Math.min(1, Math.max(0, latePosition));
}

/**
 * Whether to compare only few servers for a request. The more servers each entry compares, the more entries choose the
 * same one, which then queues until the next report.
 */
export function mustSpread({ pressure, entries }: FleetLoad): boolean {
  return entries > 1 && pressure >= SPREAD_PRESSURE;
}

/** Share of the requests that other entries send. A single entry knows all of its requests and needs no margin. */
function othersShare(entries: number): number {
  return 1 - 1 / Math.max(1, entries);
}
