/** Tells the subscribed entries about this box: its state on every change, its load now and then. */
import type { ControlConnection } from '../protocol/controlConnection.js';
import type { LoadMessage, ReportMessage } from '../protocol/reportMessages.js';

/** Changes within this time go out as one report. */
const GATHER_MILLISECONDS = 100;
/** How often the load goes out when it has changed; it also comes back with every answer. */
const LOAD_INTERVAL_MILLISECONDS = 1_000;

export class Reporter {
  private readonly _build: () => ReportMessage;
  private readonly _subscribers = new Set<ControlConnection>();
  private readonly _loadTimer: NodeJS.Timeout;
  private _gatherTimer: NodeJS.Timeout | undefined;
  private _lastState = '';
  private _lastLoad = '';

  constructor(build: () => ReportMessage) {
    this._build = build;
    this._loadTimer = setInterval(() => this._sendChanges(), LOAD_INTERVAL_MILLISECONDS);
  }

  /** Sends the present report and all later ones. */
  subscribe(connection: ControlConnection): void {
    this._subscribers.add(connection);
    connection.once('close', () => this._subscribers.delete(connection));
    connection.send(this._build());
  }

  /** Says that the state has changed. */
  scheduleReport(): void {
    this._gatherTimer ??= setTimeout(() => {
      this._gatherTimer = undefined;
      this._sendChanges();
    }, GATHER_MILLISECONDS);
  }

  /** Sends without waiting. */
  sendNow(): void {
    this._sendChanges();
  }

  close(): void {
    clearInterval(this._loadTimer);
    clearTimeout(this._gatherTimer);
  }

  private _sendChanges(): void {
    const report = this._build();
    const { inFlight, queued } = report;
    const load: LoadMessage = { type: 'load', inFlight, queued };
    const stateText = JSON.stringify({ ...report, inFlight: 0, queued: 0 });
    const loadText = JSON.stringify(load);
    if (stateText !== this._lastState) this._sendAll(report);
    else if (loadText !== this._lastLoad) this._sendAll(load);
    this._lastState = stateText;
    this._lastLoad = loadText;
  }

  private _sendAll(message: ReportMessage | LoadMessage): void {
    for (const subscriber of this._subscribers) subscriber.send(message);
  }
}
