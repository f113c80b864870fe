/** Whether a version is still worth bringing when a newer one has been named. Pure, and worked out alike by all boxes. */
import { LAST_SEND_MARGIN_MILLISECONDS } from '../protocol/versionMargins.js';

/** What the decision depends on; times are monotonic milliseconds. */
export interface SupersededVersion {
  /** When it was named, and when the newer one was. */
  announcedAt: number;
  newerAnnouncedAt: number;
  now: number;
  /** Time after its naming in which a newer version has to take the place of older ones. */
  switchMilliseconds: number;
  /** Time for a whole copy at the rate at which a box may receive. */
  copyMilliseconds: number;
  /** The same for what this box has yet to receive of the version. */
  missingMilliseconds: number;
  /** Parts of the chunks of the version, and of the newer one, that have left the origin, from 0 to 1. */
  availableShare: number;
  newerAvailableShare: number;
}

/** From the first whole box to the last one in service, as measured on the users' bench with 15 boxes. */
const SPREAD_MILLISECONDS = 2_500;
/** With less than this the rest would take the origin as long as the newer version does. */
const LITTLE_SEEN_SHARE = 1 / 3;
/** A version that serves for less than this is not worth a switch. */
const LEAST_SERVICE_MILLISECONDS = 1_000;

/**
 * Skipping a version leaves only the newer one to serve once the bound of the skipped one has passed. So it is finished
 * unless the newer one can be in service everywhere by then and cannot be lost with its origin any more, or unless there
 * is no time left to serve it.
 */
export function isWorthFinishing(version: SupersededVersion): boolean {
  const {
    announcedAt: namedAt,
    newerAnnouncedAt: newerNamedAt,
    now,
    switchMilliseconds,
    copyMilliseconds,
    missingMilliseconds,
  } = version;
  const needed = switchMilliseconds - LAST_SEND_MARGIN_MILLISECONDS;
  const newerServes = newerNamedAt + copyMilliseconds + SPREAD_MILLISECONDS;
  const newerInTime = newerServes <= namedAt + needed;
  const newerIsSafe = version.newerAvailableShare === 1 || version.availableShare < LITTLE_SEEN_SHARE;
  if (newerInTime && newerIsSafe) return false;
  return now + missingMilliseconds + LEAST_SERVICE_MILLISECONDS <= newerNamedAt + needed;
}
