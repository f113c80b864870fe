/**
 * Notices of backend servers to all entries, such as a request limit or that the server is leaving. An entry
 * reports the notices that it receives to the agents, which forward them to the other entries.
 */
import { LRUCache } from 'lru-cache';
import type { ServerNotice } from '../protocol/boxMessages.js';
import type { Clock } from '../utils/clock.js';

/** Maximum number of servers whose notices are kept. */
const MAX_SERVERS = 200;
/** Notices older than this are not sent. The server has ended by then, or has repeated the notice in its answers. */
const MAX_AGE_MILLISECONDS = 600_000;

/**
 * An unchanged notice is forwarded again after this time. Only a few entries hold a share of a server's limit and send
 * to the server; the others learn from the repeated notice that the limit still applies.
 */
const REPEAT_MILLISECONDS = 9_000;

/** Times in monotonic milliseconds. */
interface RememberedNotice {
  notice: ServerNotice;
  heardAt: number;
  /** Value of `heardAt` when the notice was last forwarded. */
  forwardedAt: number;
}

export class ServerNotices {
  private readonly _clock: Clock;
  private readonly _notices = new LRUCache<string, RememberedNotice>({ max: MAX_SERVERS });

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /**
   * Merges the notices that an entry reports. Returns the merged notices of those servers for which something is
   * new.
   */
  merge(notices: readonly ServerNotice[]): ServerNotice[] {
    const changed = new Set(notices.filter((notice) => this._mergeOne(notice)).map(({ server }) => server));
    return this.all().filter(({ server }) => changed.has(server));
  }

  /** Returns all notices that are kept and not too old. */
  all(): ServerNotice[] {
    const now = this._clock.now();
    return [...this._notices.values()]
      .map(({ notice, heardAt }) => ({ ...notice, heardMilliseconds: now - heardAt }))
      .filter(({ heardMilliseconds }) => heardMilliseconds <= MAX_AGE_MILLISECONDS);
  }

  private _mergeOne(notice: ServerNotice): boolean {
    const heardAt = this._clock.now() - notice.heardMilliseconds;
    const known = this._notices.get(notice.server);
    const reported = { notice, heardAt, forwardedAt: heardAt };
    const next = known ? merged(known, reported) : reported;
    const isNew = known === undefined || !isSame(known.notice, next.notice) || isDue(next);
    if (isNew) next.forwardedAt = next.heardAt;
    this._notices.set(notice.server, next);
    return isNew;
  }
}

/**
 * Returns the newer notice. Within one incarnation of a server, `leaving` stays set, even if the newer notice comes
 * from an entry that does not know of it yet.
 */
function merged(known: RememberedNotice, reported: RememberedNotice): RememberedNotice {
  const newer = reported.heardAt > known.heardAt ? reported : known;
  const isSameIncarnation = reported.notice.startedAt === known.notice.startedAt;
  const leaving = isSameIncarnation ? known.notice.leaving || reported.notice.leaving : newer.notice.leaving;
  return { notice: { ...newer.notice, leaving }, heardAt: newer.heardAt, forwardedAt: known.forwardedAt };
}

function isDue({ heardAt, forwardedAt }: RememberedNotice): boolean {
  return heardAt - forwardedAt >= REPEAT_MILLISECONDS;
}

function isSame(a: ServerNotice, b: ServerNotice): boolean {
  return a.startedAt === b.startedAt && a.limitPerSecond === b.limitPerSecond && a.leaving === b.leaving;
}
