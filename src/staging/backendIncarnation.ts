/**
 * Detects from two statuses whether the backend server has restarted in between. A restarted server has lost its
 * loaded versions and its orders. Pure functions.
 */
import type { LocalBackendStatus } from './localBackend.js';

/** The fields of a status that tell one incarnation of the backend server from the next. */
export type BackendIncarnation = Pick<LocalBackendStatus, 'startedAt' | 'revision'>;

/**
 * Whether the server has restarted between the two statuses. Any change of the start time counts, also to an
 * earlier one, since the server's clock may have been set back. If a status has no start time, a lower revision
 * shows the restart.
 */
export function hasRestarted(before: BackendIncarnation, now: BackendIncarnation): boolean {
  if (before.startedAt > 0 && now.startedAt > 0) return before.startedAt !== now.startedAt;
  return now.revision < before.revision;
}

/** Whether the server has neither restarted nor accepted an order since `before`. */
export function isUnchanged(before: BackendIncarnation, now: BackendIncarnation): boolean {
  return !hasRestarted(before, now) && before.revision === now.revision;
}

/** The start times and revisions of both statuses, as fields of a log line. */
export function restartLogFields(
  former: BackendIncarnation,
  { startedAt, revision }: BackendIncarnation,
): Record<string, number> {
  return { startedAt, formerStartedAt: former.startedAt, revision, formerRevision: former.revision };
}
