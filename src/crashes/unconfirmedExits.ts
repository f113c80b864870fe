/**
 * Holds back server exits for a short time, in which a success of another request with the same identity discards them.
 * A part that many prompts share is present whenever a server exits; without the delay, each exit would hold up its
 * requests and be written to the store.
 */
import type { Clock } from '../utils/clock.js';
import type { RequestIdentity } from './requestIdentity.js';
import type { ServerExit } from './suspicion.js';

/** Server exits that no success has discarded. */
export interface ConfirmedExits {
  identity: RequestIdentity;
  exits: readonly ServerExit[];
}

interface HeldExits {
  identity: RequestIdentity;
  exits: ServerExit[];
  /** Monotonic milliseconds. */
  dueAt: number;
}

/** Long enough for a common part to succeed at the entry. */
const DELAY_MILLISECONDS = 300;
const MAX_IDENTITIES = 1_000;

export class UnconfirmedExits {
  private readonly _clock: Clock;
  /** In the order in which they are due. */
  private readonly _held = new Map<string, HeldExits>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Number of identities with unconfirmed exits. */
  get size(): number {
    return this._held.size;
  }

  /** Milliseconds until the next exits are confirmed; undefined if there are none. */
  get nextDueIn(): number | undefined {
    const [next] = this._held.values();
    return next && Math.max(0, next.dueAt - this._clock.now());
  }

  /** Returns false if there are too many identities to hold another one. */
  add(identity: RequestIdentity, exit: ServerExit): boolean {
    const held = this._held.get(identity.fingerprint);
    if (held) held.exits.push(exit);
    else if (this._held.size >= MAX_IDENTITIES) return false;
    else {
      const dueAt = this._clock.now() + DELAY_MILLISECONDS;
      this._held.set(identity.fingerprint, { identity, exits: [exit], dueAt });
    }
    return true;
  }

  discard(fingerprint: string): void {
    this._held.delete(fingerprint);
  }

  /** Removes and returns the exits that have been held for long enough. */
  takeConfirmed(): ConfirmedExits[] {
    const now = this._clock.now();
    const due = [...this._held.values()].filter(({ dueAt }) => dueAt <= now);
    for (const { identity } of due) this._held.delete(identity.fingerprint);
    return due;
  }
}
