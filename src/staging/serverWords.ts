/** What backend servers ask of all entries, as entries have told this agent, for those that have not heard it. */
import { LRUCache } from 'lru-cache';
import type { ServerWord } from '../protocol/boxMessages.js';
import type { Clock } from '../utils/clock.js';

/** Servers whose words are remembered. */
const REMEMBERED = 200;
/** A server that has said nothing new for so long has ended, or tells it again to whoever asks it. */
const FORGET_MILLISECONDS = 600_000;

/** A word that is the same is passed on again after so long: entries that leave the server to others wait for it. */
const PASS_ON_MILLISECONDS = 9_000;

/** Times in monotonic milliseconds. */
interface RememberedWord {
  word: ServerWord;
  heardAt: number;
  /** When that was heard which was passed on last. */
  passedOnAt: number;
}

export class ServerWords {
  private readonly _clock: Clock;
  private readonly _words = new LRUCache<string, RememberedWord>({ max: REMEMBERED });

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Takes what an entry tells; returns what is new to this agent by it, as it is remembered now. */
  take(words: readonly ServerWord[]): ServerWord[] {
    const changed = new Set(words.filter((word) => this._takeOne(word)).map(({ server }) => server));
    return this.all().filter(({ server }) => changed.has(server));
  }

  /** All that is remembered. */
  all(): ServerWord[] {
    const now = this._clock.now();
    return [...this._words.values()]
      .map(({ word, heardAt }) => ({ ...word, heardMilliseconds: now - heardAt }))
      .filter(({ heardMilliseconds }) => heardMilliseconds <= FORGET_MILLISECONDS);
  }

  private _takeOne(word: ServerWord): boolean {
    const heardAt = this._clock.now() - word.heardMilliseconds;
    const known = this._words.get(word.server);
    const told = { word, heardAt, passedOnAt: heardAt };
    const next = known ? merged(known, told) : told;
    const isNew = known === undefined || !isSame(known.word, next.word) || isDue(next);
    if (isNew) next.passedOnAt = next.heardAt;
    this._words.set(word.server, next);
    return isNew;
  }
}

/** The newer word; a server that leaves does so whoever has not heard it yet. */
function merged(known: RememberedWord, told: RememberedWord): RememberedWord {
  const newer = told.heardAt > known.heardAt ? told : known;
  const isSameLife = told.word.startedAt === known.word.startedAt;
  const leaving = isSameLife ? known.word.leaving || told.word.leaving : newer.word.leaving;
  return { word: { ...newer.word, leaving }, heardAt: newer.heardAt, passedOnAt: known.passedOnAt };
}

function isDue({ heardAt, passedOnAt }: RememberedWord): boolean {
  return heardAt - passedOnAt >= PASS_ON_MILLISECONDS;
}

function isSame(a: ServerWord, b: ServerWord): boolean {
  return a.startedAt === b.startedAt && a.limitPerSecond === b.limitPerSecond && a.leaving === b.leaving;
}
