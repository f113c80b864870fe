/** Whether the link of a box is narrow, by how fast the chunks of a version come. Pure. */

/** Part of the rate below which a link counts as narrow, and the time after which that can be told. */
const NARROW_SHARE = 0.38;
const LEAST_MEASURED_MILLISECONDS = 1_000;
/** A link that was narrow while chunks came is taken to stay so for a while: squeezes of the users' bench last for 5 to 7 s. */
const STILL_NARROW_MILLISECONDS = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** One version's way to a box; times are monotonic milliseconds. */
export interface VersionTransfer {
  startedAt: number;
  /** When everything was here; infinite before. */
  completedAt: number;
  receivedBytes: number;
  /** What the box may take of chunks. */
  bytesPerSecond: number;
}

/** Whether chunks come much more slowly than the box may take them, or came so until a moment ago. */
export function isNarrowLink(transfer: VersionTransfer, now: number): boolean {
  const { startedAt, completedAt, receivedBytes, bytesPerSecond } = transfer;
  if (now - completedAt > STILL_NARROW_MILLISECONDS) return false;
  const elapsed = Math.min(now, completedAt) - startedAt;
  if (elapsed < LEAST_MEASURED_MILLISECONDS) return false;
  return receivedBytes < (bytesPerSecond / MILLISECONDS_PER_SECOND) * elapsed * NARROW_SHARE;
}
