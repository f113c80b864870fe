/** Decides whether to finish loading a version once a newer one has been announced. All boxes apply the same rule. */
import { LAST_SEND_MARGIN_MILLISECONDS } from '../protocol/versionMargins.js';

/** Input of the decision. Times are monotonic milliseconds. */
export interface SupersededVersion {
  /** When the version was announced. */
  announcedAt: number;
  /** When the newer version was announced. */
  newerAnnouncedAt: number;
  now: number;
  /** Time from its announcement within which a newer version has to replace older ones. */
  switchMilliseconds: number;
  /** Time to receive a whole copy at the rate that a box may use. */
  copyMilliseconds: number;
  /** Time to receive the missing chunks of the version at that rate. */
  missingMilliseconds: number;
  /** Share of the chunks of the version that are at some box already, from 0 to 1. */
  availableShare: number;
  /** The same for the newer version. */
  newerAvailableShare: number;
}

/** Time from the first box with a complete copy until the last one serves, with 15 boxes. */
const SPREAD_MILLISECONDS = 2_500;
/** Below this available share, fetching the rest would load the origin about as much as the newer version does. */
const LITTLE_AVAILABLE_SHARE = 1 / 3;
/** Shortest time in service for which a switch is worthwhile. */
const MIN_SERVICE_MILLISECONDS = 1_000;

/**
 * Whether to finish loading a version. If it is skipped, requests may begin only on the newer version once the deadline
 * of the skipped one has passed. So the version is finished, with two exceptions: the newer version can be in service
 * everywhere by that deadline and no longer depends on the origin, or there is no time left in which the version would
 * serve.
 */
export function isWorthFinishing(version: SupersededVersion): boolean {
  const { announcedAt, newerAnnouncedAt, now, switchMilliseconds, copyMilliseconds, missingMilliseconds } =
    version;
  const replacementMilliseconds = switchMilliseconds - LAST_SEND_MARGIN_MILLISECONDS;
  const newerServesAt = newerAnnouncedAt + copyMilliseconds + SPREAD_MILLISECONDS;
  const newerInTime = newerServesAt <= announcedAt + replacementMilliseconds;
  const newerIsSafe = version.newerAvailableShare === 1 || version.availableShare < LITTLE_AVAILABLE_SHARE;
  if (newerInTime && newerIsSafe) return false;
  return now + missingMilliseconds + MIN_SERVICE_MILLISECONDS <= newerAnnouncedAt + replacementMilliseconds;
}
