/** Reports the state of this box to the subscribed entries after each change, and its load at intervals. */
import type { ControlConnection } from '../protocol/controlConnection.js';
import type { LoadMessage, ReportMessage } from '../protocol/reportMessages.js';

/** Time from a change to its report. Further changes within this time go into the same report. */
const REPORT_DELAY_MILLISECONDS = 100;
/** Interval at which a changed load is sent. Entries also get the load with each answer to a request. */
const LOAD_INTERVAL_MILLISECONDS = 1_000;

export class Reporter {
  private readonly _createReport: () => ReportMessage;
  private readonly _subscribers = new Set<ControlConnection>();
  private readonly _loadTimer: NodeJS.Timeout;
  private _reportTimer: NodeJS.Timeout | undefined;
  private _lastState = '';
  private _lastLoad = '';

  constructor(createReport: () => ReportMessage) {
    this._createReport = createReport;
    this._loadTimer = setInterval(() => this._sendChanges(), LOAD_INTERVAL_MILLISECONDS);
  }

  /** Sends the current report to `connection`, and later changes until it closes. */
  subscribe(connection: ControlConnection): void {
    this._subscribers.add(connection);
    connection.once('close', () => this._subscribers.delete(connection));
    connection.send(this._createReport());
  }

  /** Schedules a report of a changed state. */
  scheduleReport(): void {
    this._reportTimer ??= setTimeout(() => {
      this._reportTimer = undefined;
      this._sendChanges();
    }, REPORT_DELAY_MILLISECONDS);
  }

  /** Sends a changed state or load without delay. */
  sendNow(): void {
    this._sendChanges();
  }

  close(): void {
    clearInterval(this._loadTimer);
    clearTimeout(this._reportTimer);
  }

  private _sendChanges(): void {
    const report = this._createReport();
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
