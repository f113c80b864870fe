/** Whether the backend server has started again between two of its words: nothing that it held or was ordered is left. Pure. */
import type { LocalBackendStatus } from './localBackend.js';

/** What tells the lives of a backend server apart. */
export type LifeSigns = Pick<LocalBackendStatus, 'startedAt' | 'revision'>;

/** By another start, whichever way its clock was set; where no start is told, by orders that it has forgotten. */
export function isAnotherLife(before: LifeSigns, now: LifeSigns): boolean {
  if (before.startedAt > 0 && now.startedAt > 0) return before.startedAt !== now.startedAt;
  return now.revision < before.revision;
}
