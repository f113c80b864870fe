/** What backend servers ask of all entries, as entries have told this agent, for those that have not heard it. */
import { LRUCache } from 'lru-cache';
import type { ServerNotice } from '../protocol/boxMessages.js';
import type { Clock } from '../utils/clock.js';

/** Servers whose notices are remembered. */
const REMEMBERED = 200;
/** A server that has said nothing new for so long has ended, or tells it again to whoever asks it. */
const FORGET_MILLISECONDS = 600_000;

/** A notice that is the same is passed on again after so long: entries that leave the server to others wait for it. */
const PASS_ON_MILLISECONDS = 9_000;

/** Times in monotonic milliseconds. */
interface RememberedNotice {
  notice: ServerNotice;
  heardAt: number;
  /** When that was heard which was passed on last. */
  passedOnAt: number;
}

export class ServerNotices {
  private readonly _clock: Clock;
  private readonly _notices = new LRUCache<string, RememberedNotice>({ max: REMEMBERED });

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Takes what an entry tells; returns what is new to this agent by it, as it is remembered now. */
  merge(notices: readonly ServerNotice[]): ServerNotice[] {
    const changed = new Set(notices.filter((notice) => this._takeOne(notice)).map(({ server }) => server));
    return this.all().filter(({ server }) => changed.has(server));
  }

  /** All that is remembered. */
  all(): ServerNotice[] {
    const now = this._clock.now();
    return [...this._notices.values()]
      .map(({ notice, heardAt }) => ({ ...notice, heardMilliseconds: now - heardAt }))
      .filter(({ heardMilliseconds }) => heardMilliseconds <= FORGET_MILLISECONDS);
  }

  private _takeOne(notice: ServerNotice): boolean {
    const heardAt = this._clock.now() - notice.heardMilliseconds;
    const known = this._notices.get(notice.server);
    const told = { notice, heardAt, passedOnAt: heardAt };
    const next = known ? merged(known, told) : told;
    const isNew = known === undefined || !isSame(known.notice, next.notice) || isDue(next);
    if (isNew) next.passedOnAt = next.heardAt;
    this._notices.set(notice.server, next);
    return isNew;
  }
}

/** The newer notice; a server that leaves does so whoever has not heard it yet. */
function merged(known: RememberedNotice, told: RememberedNotice): RememberedNotice {
  const newer = told.heardAt > known.heardAt ? told : known;
  const isSameLife = told.notice.startedAt === known.notice.startedAt;
  const leaving = isSameLife ? known.notice.leaving || told.notice.leaving : newer.notice.leaving;
  return { notice: { ...newer.notice, leaving }, heardAt: newer.heardAt, passedOnAt: known.passedOnAt };
}

function isDue({ heardAt, passedOnAt }: RememberedNotice): boolean {
  return heardAt - passedOnAt >= PASS_ON_MILLISECONDS;
}

function isSame(a: ServerNotice, b: ServerNotice): boolean {
  return a.startedAt === b.startedAt && a.limitPerSecond === b.limitPerSecond && a.leaving === b.leaving;
}
