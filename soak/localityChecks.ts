/** Checks that requests run only in their home regions and not in evacuated data centres. */
import type { BreachListener } from './promiseNames.js';
import { HOME_PATH, HOME_REGIONS } from './soakConfiguration.js';
import { BOUNDS, REGIONS } from './soakBounds.js';

/** What the checks need to know about faults. Times are in wall clock milliseconds. */
export interface LocalityContext {
  /** Whether faults excuse an entry that at `at` does not yet act on a record written at `since`. */
  isExcused: (since: number, at: number, bound: number) => boolean;
}

/** A request that a server has begun to work on. */
interface PlacedExecution {
  id: string;
  zone: string;
  at: number;
}

interface Evacuation {
  zone: string;
  from: number;
  until: number;
}

const SLACK_MILLISECONDS = 500;

export class LocalityChecks {
  private readonly _evacuations: Evacuation[] = [];
  private readonly _outsideHome: PlacedExecution[] = [];
  private readonly _executions: PlacedExecution[] = [];
  private readonly _wronglyNamed: string[] = [];
  private _ranAtHome = 0;

  /** Number of requests with home regions that ran there. */
  get ranAtHome(): number {
    return this._ranAtHome;
  }

  /** A server in `zone` has begun to work on a request. */
  onExecution({ id, path, at }: { id: string; path: string; at: number }, zone: string): void {
    this._executions.push({ id, zone, at });
    if (!path.startsWith(HOME_PATH)) return;
    if (HOME_REGIONS.includes(REGIONS[zone])) this._ranAtHome++;
    else this._outsideHome.push({ id, zone, at });
  }

  /** A data centre has been evacuated; the returned function ends the evacuation. */
  onEvacuation(zone: string): () => void {
    const evacuation = { zone, from: Date.now(), until: Number.POSITIVE_INFINITY };
    this._evacuations.push(evacuation);
    return () => (evacuation.until = Date.now());
  }

  /** A directory has named an entry in `zone`, for the host with home regions, to a caller in `callerZone`. */
  onNamed(zone: string, callerZone: string): void {
    const isAllowed = zone === callerZone || HOME_REGIONS.includes(REGIONS[zone]);
    if (!isAllowed) this._wronglyNamed.push(`an entry in ${zone} to a caller in ${callerZone}`);
  }

  /** Reports what was broken. Faults excuse a late evacuation, but no request outside of its home regions. */
  check({ isExcused }: LocalityContext, report: BreachListener): void {
    for (const { id, zone } of this._outsideHome) report('home', `${id} ran in ${zone}`);
    for (const named of this._wronglyNamed) report('home', `the directory named ${named}`);
    for (const { zone, from, until } of this._evacuations) {
      const late = this._executions.filter(
        (execution) => execution.zone === zone && isInForce(execution.at, from, until),
      );
      for (const { id, at } of late) {
        if (isExcused(from, at, BOUNDS.evacuate_ms)) continue;
        report('evacuated', `${id} started in ${zone}, ${at - from} ms after its evacuation`);
      }
    }
  }
}

/** Whether an evacuation must be in force everywhere. Entries may learn of its end at any time after it. */
function isInForce(at: number, from: number, until: number): boolean {
  return at >= from + BOUNDS.evacuate_ms + SLACK_MILLISECONDS && at <= until;
}
