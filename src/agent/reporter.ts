/** Tells the subscribed entries about this box: at once on a change of state, slowly for load alone. */
import type { ControlConnection } from '../protocol/controlConnection.js';
import type { ReportMessage } from '../protocol/reportMessages.js';

/** Changes within this time go out as one report. */
const GATHER_MILLISECONDS = 100;
/** How often a report goes out when only load may have changed. */
const LOAD_INTERVAL_MILLISECONDS = 500;

export class Reporter {
  private readonly _build: () => ReportMessage;
  private readonly _subscribers = new Set<ControlConnection>();
  private readonly _loadTimer: NodeJS.Timeout;
  private _gatherTimer: NodeJS.Timeout | undefined;
  private _lastSent = '';

  constructor(build: () => ReportMessage) {
    this._build = build;
    this._loadTimer = setInterval(() => this._sendWhenChanged(), LOAD_INTERVAL_MILLISECONDS);
  }

  /** Sends the present report and all later ones. */
  subscribe(connection: ControlConnection): void {
    this._subscribers.add(connection);
    connection.once('close', () => this._subscribers.delete(connection));
    connection.send(this._build());
  }

  /** Says that the state has changed. */
  changed(): void {
    this._gatherTimer ??= setTimeout(() => {
      this._gatherTimer = undefined;
      this._sendWhenChanged();
    }, GATHER_MILLISECONDS);
  }

  /** Sends without waiting. */
  sendNow(): void {
    this._sendWhenChanged();
  }

  close(): void {
    clearInterval(this._loadTimer);
    clearTimeout(this._gatherTimer);
  }

  private _sendWhenChanged(): void {
    const report = this._build();
    const text = JSON.stringify(report);
    if (text === this._lastSent) return;
    this._lastSent = text;
    for (const subscriber of this._subscribers) subscriber.send(report);
  }
}
