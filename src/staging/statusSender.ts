/** Tells the connected entries how this box stands: when it matters at once, otherwise now and then. */
import type { BoxStatus } from '../protocol/boxMessages.js';
import type { Clock } from '../utils/clock.js';

/** Requests by which the load has to change to be told at once. */
const LOAD_STEP = 2;
/**
 * Shortest time between two statuses that tell only another load, for each entry that hears them: what an agent sends
 * and an entry hears stays bounded however many there are.
 */
const SPACING_PER_ENTRY_MILLISECONDS = 10;
/** A status is sent so often even when nothing has changed, so that entries know how fresh their news is. */
const LONGEST_MILLISECONDS = 1_000;

export class StatusSender {
  private readonly _clock: Clock;
  private readonly _build: () => BoxStatus;
  private readonly _send: (status: BoxStatus) => void;
  private readonly _entries: () => number;
  private _last: BoxStatus | undefined;
  private _sentAt = 0;

  /** `build` gives the present status, `send` sends one to all entries, `entries` counts them. */
  constructor(
    clock: Clock,
    build: () => BoxStatus,
    send: (status: BoxStatus) => void,
    entries: () => number,
  ) {
    this._entries = entries;
    this._clock = clock;
    this._build = build;
    this._send = send;
  }

  /** Sends the status if another state, version or load has to be told at once. */
  onChange(): void {
    const status = this._build();
    const last = this._last;
    const sameState = last?.state === status.state && last.version === status.version;
    if (!sameState || last.slowLink !== status.slowLink) this._sendNow(status);
    else if (this._mayTellLoad && Math.abs(loadOf(status) - loadOf(last)) >= LOAD_STEP) this._sendNow(status);
  }

  /** Sends the status if anything has changed, or if it is old. */
  onInterval(): void {
    const status = this._build();
    const old = this._clock.now() - this._sentAt >= LONGEST_MILLISECONDS;
    const changed = JSON.stringify(status) !== JSON.stringify(this._last);
    if (old || (changed && this._mayTellLoad)) this._sendNow(status);
  }

  private get _mayTellLoad(): boolean {
    return this._clock.now() - this._sentAt >= SPACING_PER_ENTRY_MILLISECONDS * this._entries();
  }

  private _sendNow(status: BoxStatus): void {
    this._last = status;
    this._sentAt = this._clock.now();
    this._send(status);
  }
}

function loadOf(status: BoxStatus): number {
  return status.running + status.queued;
}
