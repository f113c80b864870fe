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
/** Ends of a warm-up that differ by less are the same end, told with different delays. */
const SAME_END_MILLISECONDS = 500;

/** Times in monotonic milliseconds. */
interface RememberedNotice {
  /** The notice without the warm-up, which {@link RememberedNotice.coldUntil} holds. */
  notice: Omit<ServerNotice, 'coldMilliseconds'>;
  heardAt: number;
  /** End of the server's warm-up; -Infinity if none is known. */
  coldUntil: number;
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
      .filter(({ heardAt, coldUntil }) => now - heardAt <= MAX_AGE_MILLISECONDS || coldUntil > now)
      .map(({ notice, heardAt, coldUntil }) => ({
        ...notice,
        heardMilliseconds: now - heardAt,
        ...(coldUntil > now ? { coldMilliseconds: coldUntil - now } : {}),
      }));
  }

  private _mergeOne(notice: ServerNotice): boolean {
    const { coldMilliseconds, ...rest } = notice;
    const now = this._clock.now();
    const heardAt = now - rest.heardMilliseconds;
    const coldUntil = coldMilliseconds === undefined ? Number.NEGATIVE_INFINITY : now + coldMilliseconds;
    const known = this._notices.get(notice.server);
    const reported = { notice: rest, heardAt, coldUntil, forwardedAt: heardAt };
    const next = known ? merged(known, reported) : reported;
    const isNew =
      known === undefined || !isSame(known.notice, next.notice) || isDue(next) || isColder(known, next);
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
  const newer = reported.heardAt > known.heardAt || isColdSuccessor(known, reported) ? reported : known;
  const isSameIncarnation = reported.notice.startedAt === known.notice.startedAt;
  const leaving = isSameIncarnation ? known.notice.leaving || reported.notice.leaving : newer.notice.leaving;
  const coldUntil = isSameIncarnation ? Math.max(known.coldUntil, reported.coldUntil) : newer.coldUntil;
  return {
    notice: { ...newer.notice, leaving },
    heardAt: newer.heardAt,
    coldUntil,
    forwardedAt: known.forwardedAt,
  };
}

/** A server that starts is cold before it has sent a limit, so its first notice has no time of its own. */
function isColdSuccessor(known: RememberedNotice, reported: RememberedNotice): boolean {
  return reported.coldUntil > known.coldUntil && reported.notice.startedAt > known.notice.startedAt;
}

function isColder(known: RememberedNotice, next: RememberedNotice): boolean {
  return next.coldUntil - known.coldUntil > SAME_END_MILLISECONDS;
}

function isDue({ heardAt, forwardedAt }: RememberedNotice): boolean {
  return heardAt - forwardedAt >= REPEAT_MILLISECONDS;
}

function isSame(a: RememberedNotice['notice'], b: RememberedNotice['notice']): boolean {
  return a.startedAt === b.startedAt && a.limitPerSecond === b.limitPerSecond && a.leaving === b.leaving;
}
