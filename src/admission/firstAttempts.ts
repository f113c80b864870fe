/** Estimates when the callers of requests made their first attempts, and whether these can still be answered in time. */
import type { Timeliness } from './admissionPolicy.js';
import { UsualDeadline } from './usualDeadline.js';

/** Share of the objective that a request needs from when it is sent to its answer, or to its first event. */
const MIN_ANSWER_SHARE = 0.25;

export class FirstAttempts {
  private readonly _usualByRoute = new Map<string, UsualDeadline>();

  /**
   * Returns the milliseconds since the first attempt of a caller whose current attempt has the given deadline, and
   * learns from it. 0 while the usual deadline of the route is unknown.
   */
  millisecondsSince(route: string, deadlineMilliseconds: number | undefined): number {
    if (deadlineMilliseconds === undefined) return 0;
    const usual = this._usual(route);
    usual.note(deadlineMilliseconds);
    return Math.max(0, (usual.milliseconds ?? 0) - deadlineMilliseconds);
  }

  private _usual(route: string): UsualDeadline {
    let usual = this._usualByRoute.get(route);
    if (!usual) {
      usual = new UsualDeadline();
      this._usualByRoute.set(route, usual);
    }
    return usual;
  }
}

/** Monotonic milliseconds from which a request is late. */
export function lateFrom(firstAttemptAt: number, objectiveMilliseconds: number): number {
  return firstAttemptAt + objectiveMilliseconds * (1 - MIN_ANSWER_SHARE);
}

/** Whether a request whose first attempt was `elapsedMilliseconds` ago can still meet its objective. */
export function timelinessOf(elapsedMilliseconds: number, objectiveMilliseconds: number): Timeliness {
  return elapsedMilliseconds <= objectiveMilliseconds * (1 - MIN_ANSWER_SHARE) ? 'on-time' : 'late';
}
