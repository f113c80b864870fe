/** Sends the status of this box to the connected entries: important changes at once, others at intervals. */
import type { BoxStatus } from '../protocol/boxMessages.js';
import type { Clock } from '../utils/clock.js';

/** Smallest change of the load, in requests, that is sent without waiting for the interval. */
const LOAD_STEP = 2;
/**
 * Shortest time between two statuses in which only the load differs, multiplied by the number of entries that
 * receive them, so that the traffic of an agent does not grow with the number of entries. Entries of other data
 * centres, which send fewer requests to this box, receive statuses less often. With 15 entries and 13 servers, 4 ms
 * instead of 10 ms raised the share of requests that were answered in time from 0.74 to 0.79 of the possible.
 */
const MIN_SPACING_PER_ENTRY_MILLISECONDS = 4;
const MIN_REMOTE_SPACING_PER_ENTRY_MILLISECONDS = 10;
/** An unchanged status is sent again after this time, so that entries know how old their information is. */
const MAX_INTERVAL_MILLISECONDS = 1_000;

/** The entries that a status is sent to: `all`, or only those `near`, in the agent's data centre. */
export type StatusAudience = 'all' | 'near';

/** Options of a {@link StatusSender}. */
export interface StatusSenderOptions {
  clock: Clock;
  /** Returns the current status. */
  build: () => BoxStatus;
  send: (status: BoxStatus, audience: StatusAudience) => void;
  /** Returns the number of entries that receive statuses. */
  listeners: () => number;
}

export class StatusSender {
  private readonly _options: StatusSenderOptions;
  private _last: BoxStatus | undefined;
  private _sentAt = 0;
  private _sentToAllAt = 0;

  constructor(options: StatusSenderOptions) {
    this._options = options;
  }

  /** Sends the status if the state, version or link has changed, or the load by so much that entries have to know. */
  onChange(): void {
    const status = this._options.build();
    const last = this._last;
    const sameState = last?.state === status.state && last.version === status.version;
    if (!sameState || last.slowLink !== status.slowLink) this._sendTo('all', status);
    else if (Math.abs(loadOf(status) - loadOf(last)) >= LOAD_STEP) this._sendLoad(status);
  }

  /** Sends the status if anything has changed, or if the last one is too old. */
  onInterval(): void {
    const status = this._options.build();
    const now = this._options.clock.now();
    if (now - this._sentToAllAt >= MAX_INTERVAL_MILLISECONDS) this._sendTo('all', status);
    else if (JSON.stringify(status) !== JSON.stringify(this._last)) this._sendLoad(status);
  }

  private _sendLoad(status: BoxStatus): void {
    const { clock, listeners } = this._options;
    const now = clock.now();
    if (now - this._sentToAllAt >= MIN_REMOTE_SPACING_PER_ENTRY_MILLISECONDS * listeners())
      this._sendTo('all', status);
    else if (now - this._sentAt >= MIN_SPACING_PER_ENTRY_MILLISECONDS * listeners())
      this._sendTo('near', status);
  }

  private _sendTo(audience: StatusAudience, status: BoxStatus): void {
    this._last = status;
    this._sentAt = this._options.clock.now();
    if (audience === 'all') this._sentToAllAt = this._sentAt;
    this._options.send(status, audience);
  }
}

function loadOf(status: BoxStatus): number {
  return status.running + status.queued;
}
