/**
 * Records which non-repeatable requests an agent has run. Held in memory, for the lifetime of the agent's incarnation.
 * See docs/decisions/0003-at-most-once.md.
 */
import { LRUCache } from 'lru-cache';
import type { LedgerSlot } from '../protocol/rolloutMessages.js';
import type { Clock } from '../utils/clock.js';
import { compareText } from '../utils/rendezvous.js';
import { splitKeys } from './keyParts.js';
import { ledgerHash } from './ledgerSlots.js';

/** A complete answer, stored so that a caller whose answer was lost gets it when it sends the key again. */
export interface StoredAnswer {
  status: number;
  contentType: string;
  version: string;
  body: Buffer;
}

/** Result of {@link Ledger.check}. */
export type LedgerDecision =
  | { kind: 'run' }
  /** The request has run and its answer is stored. */
  | { kind: 'answered'; answer: StoredAnswer }
  /** The request is running, or has run without a stored answer. */
  | { kind: 'started' }
  /** This incarnation does not own the slot at that epoch. The request has not run here and may run elsewhere. */
  | { kind: 'not-owner' }
  /** An earlier owner of the slot may have run the request; this cannot be determined any more. */
  | { kind: 'uncertain' }
  | { kind: 'full' };

/** A request as the ledger checks it. */
export interface LedgerRequest {
  /** Customer, configuration and the caller's idempotency key, joined. */
  key: string;
  slot: number;
  /** Epoch of the slot, from the entry's table or from the caller's ticket. */
  slotEpoch: number;
  /** Whether the epoch comes from a signed ticket, which proves that the key was not used before that epoch. */
  ticketed: boolean;
}

export interface LedgerOptions {
  clock: Clock;
  /** How long a caller may resend a key after first sending it. */
  keyLifetimeMilliseconds: number;
  /**
   * How long a slot stays blind after its owner was lost: the lifetime of a key, plus the time for which an entry that
   * has not learnt of the loss may go on sending to the lost owner.
   */
  blindMilliseconds: number;
  /** A tenth more is kept for customers who have few keys. */
  maximumKeys: number;
  /** Memory for stored answers. Beyond it the oldest answers are dropped, but not their keys. */
  maximumAnswerBytes: number;
}

/** Some keys of a service, in the order of their text. */
export interface KeyPart {
  keys: string[];
  /** Whether there are keys after these. */
  more: boolean;
}

interface KeyState {
  running: boolean;
  expiresAt: number;
}

/** Additional keys, as a share of the maximum, for customers who have fewer than these: nobody can use up all. */
const RESERVED_SHARE = 0.1;
/** Estimated memory that a stored answer takes besides its body. */
const ANSWER_OVERHEAD_BYTES = 512;

interface SlotState extends LedgerSlot {
  /** Until this time, requests without a ticket are answered `uncertain`. */
  blindUntil: number;
}

/** Decides whether a request may run. A key that has been allowed to run is not allowed again during its lifetime. */
export class Ledger {
  private readonly _options: LedgerOptions;
  private readonly _keys = new Map<string, KeyState>();
  private readonly _keysOfCustomer = new Map<string, number>();
  private readonly _answers: LRUCache<string, StoredAnswer>;
  private readonly _slots = new Map<string, Map<number, SlotState>>();
  /** Services whose keys have been exported in part. */
  private readonly _handingOver = new Set<string>();

  constructor(options: LedgerOptions) {
    this._options = options;
    this._answers = new LRUCache({ maxSize: options.maximumAnswerBytes, sizeCalculation: sizeOf });
  }

  get size(): number {
    return this._keys.size;
  }

  /** Estimated memory of the stored answers. */
  get answerBytes(): number {
    return this._answers.calculatedSize;
  }

  /** Hash of the slots assigned for `service`, to compare with the table. */
  hashOf(service: string): number {
    return ledgerHash([...(this._slots.get(service)?.values() ?? [])]);
  }

  /** Replaces the slots of `service` that this incarnation owns. */
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
    this._handingOver.delete(service);
  }

  /** Whether this incarnation owns any slot of any service, or has keys left to hand over. */
  get ownsSlots(): boolean {
    return this._handingOver.size > 0 || [...this._slots.values()].some((slots) => slots.size > 0);
  }

  /** Gives up all slots of a service and returns its recorded keys, to be imported by the next owners. */
  exportKeys(service: string): string[] {
    this._slots.delete(service);
    return [...this._keys.keys()].filter((key) => key.startsWith(`${service}.`));
  }

  /** Does the same in parts: returns the next keys after the key `after`, '' for the first ones. */
  exportPart(service: string, after: string, maximumBytes?: number): KeyPart {
    const left = this.exportKeys(service).filter((key) => key > after);
    const [keys, ...others] = splitKeys(left.sort(compareText), maximumBytes);
    const more = others.length > 0;
    if (more) this._handingOver.add(service);
    else this._handingOver.delete(service);
    return { keys, more };
  }

  /** Records keys that an earlier owner has allowed to run. */
  importKeys(keys: readonly string[]): void {
    for (const key of keys) {
      if (!this._keys.has(key)) this.finish(key, undefined);
    }
  }

  /**
   * Decides whether a request may run. `run` records the key: the caller of this method must then run the request and
   * call {@link Ledger.finish}, or call {@link Ledger.cancel}.
   */
  check(service: string, request: LedgerRequest): LedgerDecision {
    if (this._keys.has(request.key)) return this._decideKnown(request.key);
    const owned = this._slots.get(service)?.get(request.slot);
    if (!owned) return { kind: 'not-owner' };
    if (owned.slotEpoch !== request.slotEpoch) return this._decideOtherEpoch(owned, request);
    if (!request.ticketed && this._options.clock.now() < owned.blindUntil) return { kind: 'uncertain' };
    this._evictExpired();
    if (!this._hasRoomFor(customerOf(request.key))) return { kind: 'full' };
    this._remember(request.key, true);
    return { kind: 'run' };
  }

  /** Removes the key of a request that was certainly not sent to the backend server. */
  cancel(key: string): void {
    this._forget(key);
  }

  /** Records the end of a run. `answer` is undefined when the answer was lost or is too long to store. */
  finish(key: string, answer: StoredAnswer | undefined): void {
    this._forget(key);
    this._remember(key, false);
    if (answer) this._answers.set(key, answer);
  }

  /** Reads an answer without a change of the order in which answers are dropped. */
  private _decideKnown(key: string): LedgerDecision {
    const answer = this._answers.peek(key);
    return answer ? { kind: 'answered', answer } : { kind: 'started' };
  }

  /**
   * Decides on a request for another epoch of an owned slot. A ticket of an earlier epoch may have been used with an
   * earlier owner. A later epoch means that this agent has not yet received its newest assignment.
   */
  private _decideOtherEpoch(owned: SlotState, request: LedgerRequest): LedgerDecision {
    const older = request.slotEpoch < owned.slotEpoch;
    return request.ticketed && older ? { kind: 'uncertain' } : { kind: 'not-owner' };
  }

  private _expiry(): number {
    return this._options.clock.now() + this._options.keyLifetimeMilliseconds;
  }

  /** Drops expired keys, oldest first. Unexpired and running keys are kept. */
  private _evictExpired(): void {
    const now = this._options.clock.now();
    for (const [key, state] of this._keys) {
      if (state.expiresAt > now) break;
      if (!state.running) this._forget(key);
    }
  }

  private _hasRoomFor(customer: string): boolean {
    const { maximumKeys } = this._options;
    const reserved = Math.floor(maximumKeys * RESERVED_SHARE);
    const hasFew = (this._keysOfCustomer.get(customer) ?? 0) < reserved;
    return this._keys.size < (hasFew ? maximumKeys + reserved : maximumKeys);
  }

  private _remember(key: string, running: boolean): void {
    this._keys.set(key, { running, expiresAt: this._expiry() });
    this._countKey(customerOf(key), 1);
  }

  private _forget(key: string): void {
    if (!this._keys.delete(key)) return;
    this._answers.delete(key);
    this._countKey(customerOf(key), -1);
  }

  private _countKey(customer: string, change: 1 | -1): void {
    const count = (this._keysOfCustomer.get(customer) ?? 0) + change;
    if (count > 0) this._keysOfCustomer.set(customer, count);
    else this._keysOfCustomer.delete(customer);
  }
}

/** The customer's name, with which the key in the ledger begins. */
function customerOf(key: string): string {
  return key.split('.', 1)[0];
}

function sizeOf({ body, contentType, version }: StoredAnswer): number {
  return body.length + contentType.length + version.length + ANSWER_OVERHEAD_BYTES;
}
