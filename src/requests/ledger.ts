/**
 * An agent's memory of requests that are not repeatable. It lasts as long as the agent's incarnation.
 * See docs/decisions/0003-at-most-once.md.
 */
import type { LedgerSlot } from '../protocol/rolloutMessages.js';
import type { Clock } from '../utils/clock.js';
import { ledgerHash } from './ledgerSlots.js';

/** A finished answer, kept so that a caller whose answer was lost gets it again. */
export interface StoredAnswer {
  status: number;
  contentType: string;
  version: string;
  body: Buffer;
}

/** What the ledger says of a request. */
export type LedgerDecision =
  | { kind: 'run' }
  /** Ran, and here is its answer. */
  | { kind: 'answered'; answer: StoredAnswer }
  /** Is running, or ran with an answer that is not kept. */
  | { kind: 'started' }
  /** This incarnation does not own the slot at that epoch: nothing ran here, it may run elsewhere. */
  | { kind: 'not-owner' }
  /** An earlier owner may have run it: nobody can tell. */
  | { kind: 'uncertain' }
  | { kind: 'full' };

/** What the caller's key is checked against. */
export interface LedgerRequest {
  /** Customer, configuration and the caller's key, joined. */
  key: string;
  slot: number;
  /** The slot's epoch that the entry knew, or that the caller's ticket names. */
  slotEpoch: number;
  /** Whether a signed ticket names the epoch, which proves that the key was first sent under it. */
  ticketed: boolean;
}

/** Bounds of a ledger. */
export interface LedgerOptions {
  clock: Clock;
  /** How long after its first sending a caller may send a key again. */
  keyLifetimeMilliseconds: number;
  /**
   * How long a slot stays blind after its owner was lost: the lifetime of a key, and as long again as an entry may go on
   * sending to the lost owner because it has not heard of the loss.
   */
  blindMilliseconds: number;
  maximumKeys: number;
}

interface KeyState {
  running: boolean;
  answer: StoredAnswer | undefined;
  expiresAt: number;
}

interface SlotState extends LedgerSlot {
  /** Until when keys without a ticket are uncertain. */
  blindUntil: number;
}

/** Decides whether a request may run; a key that was let through once is never let through again. */
export class Ledger {
  private readonly _options: LedgerOptions;
  private readonly _keys = new Map<string, KeyState>();
  private readonly _slots = new Map<string, Map<number, SlotState>>();

  constructor(options: LedgerOptions) {
    this._options = options;
  }

  get size(): number {
    return this._keys.size;
  }

  /** Hash of the slots that `service` was given, to compare with the table. */
  hashOf(service: string): number {
    return ledgerHash([...(this._slots.get(service)?.values() ?? [])]);
  }

  /** Takes the slots of `service` that this incarnation owns now; all others are no longer its own. */
  assign(service: string, slots: readonly LedgerSlot[]): void {
    const before = this._slots.get(service);
    const now = this._options.clock.now();
    const states = slots.map((owned): [number, SlotState] => {
      const known = before?.get(owned.slot);
      if (known && known.slotEpoch === owned.slotEpoch) return [owned.slot, known];
      const blindUntil = owned.blind ? now + this._options.blindMilliseconds : 0;
      return [owned.slot, { ...owned, blindUntil }];
    });
    this._slots.set(service, new Map(states));
  }

  /** Whether any slot of any service is this incarnation's. */
  get ownsSlots(): boolean {
    return [...this._slots.values()].some((slots) => slots.size > 0);
  }

  /** Gives up all slots of a service and returns the keys it remembers, so that another owner can take over. */
  exportKeys(service: string): string[] {
    this._slots.delete(service);
    return [...this._keys.keys()].filter((key) => key.startsWith(`${service}.`));
  }

  /** Remembers keys that an earlier owner let run. */
  importKeys(keys: readonly string[]): void {
    for (const key of keys) {
      if (!this._keys.has(key)) this.finish(key, undefined);
    }
  }

  /** Decides; `run` books the key, and the caller of this method must run it now or call {@link Ledger.cancel}. */
  check(service: string, request: LedgerRequest): LedgerDecision {
    const known = this._keys.get(request.key);
    if (known) return known.answer ? { kind: 'answered', answer: known.answer } : { kind: 'started' };
    const owned = this._slots.get(service)?.get(request.slot);
    if (!owned) return { kind: 'not-owner' };
    if (owned.slotEpoch !== request.slotEpoch) return this._decideOtherEpoch(owned, request);
    if (!request.ticketed && this._options.clock.now() < owned.blindUntil) return { kind: 'uncertain' };
    if (!this._evictExpired()) return { kind: 'full' };
    this._keys.set(request.key, { running: true, answer: undefined, expiresAt: this._expiry() });
    return { kind: 'run' };
  }

  /** Undoes a booking whose request was certainly never sent to the backend server. */
  cancel(key: string): void {
    this._keys.delete(key);
  }

  /** Ends the run of a booked request; `answer` is undefined when it was lost or is too long to keep. */
  finish(key: string, answer: StoredAnswer | undefined): void {
    this._keys.delete(key);
    this._keys.set(key, { running: false, answer, expiresAt: this._expiry() });
  }

  /** A ticket of an earlier epoch may have been used with the earlier owner; a newer epoch has not reached us. */
  private _decideOtherEpoch(owned: SlotState, request: LedgerRequest): LedgerDecision {
    const older = request.slotEpoch < owned.slotEpoch;
    return request.ticketed && older ? { kind: 'uncertain' } : { kind: 'not-owner' };
  }

  private _expiry(): number {
    return this._options.clock.now() + this._options.keyLifetimeMilliseconds;
  }

  /** Drops expired keys, oldest first; never drops one that a caller may still send again. */
  private _evictExpired(): boolean {
    const now = this._options.clock.now();
    for (const [key, state] of this._keys) {
      if (state.expiresAt > now) break;
      if (!state.running) this._keys.delete(key);
    }
    return this._keys.size < this._options.maximumKeys;
  }
}
