/** What two words of the backend server tell of its life: after a start nothing that it held or was ordered is left. Pure. */
import type { LocalBackendStatus } from './localBackend.js';

/** What tells the lives of a backend server apart. */
export type BackendRun = Pick<LocalBackendStatus, 'startedAt' | 'revision'>;

/** By another start, whichever way its clock was set; where no start is told, by orders that it has forgotten. */
export function hasRestarted(before: BackendRun, now: BackendRun): boolean {
  if (before.startedAt > 0 && now.startedAt > 0) return before.startedAt !== now.startedAt;
  return now.revision < before.revision;
}

/** Whether nothing has been ordered since `before`, and the server has not started again. */
export function isUnchanged(before: BackendRun, now: BackendRun): boolean {
  return !hasRestarted(before, now) && before.revision === now.revision;
}

/** The signs of both words, as a log line has them. */
export function restartLogFields(
  former: BackendRun,
  { startedAt, revision }: BackendRun,
): Record<string, number> {
  return { startedAt, formerStartedAt: former.startedAt, revision, formerRevision: former.revision };
}
