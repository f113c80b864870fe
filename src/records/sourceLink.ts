/** A connection to an entry that provides its copies. */
import type { ControlOptions } from '../protocol/controlConnection.js';
import { ControlConnection } from '../protocol/controlConnection.js';
import type { Message } from '../protocol/message.js';
import type { RecordChanges, RecordStamp, RecordsRetained } from '../protocol/recordMessages.js';
import type { Clock } from '../utils/clock.js';
import { splitAddress } from '../utils/hostPort.js';
import { errorText } from '../utils/stepError.js';
import { RetainedExchange } from './retainedExchange.js';

export interface SourceLinkOptions {
  /** host:port of the entry. */
  address: string;
  control: ControlOptions;
  clock: Clock;
  revisions: () => Record<string, number>;
  onStamp: (stamp: RecordStamp) => void;
  onChanges: (changes: RecordChanges) => void;
  onRetained: (records: RecordsRetained) => void;
  onLost: (reason: string) => void;
}

export class SourceLink {
  readonly openedAt: number;
  readonly retainedExchange = new RetainedExchange();
  /** Monotonic milliseconds at which the last stamp arrived; -infinity before the first one. */
  stampedAt = Number.NEGATIVE_INFINITY;
  stamp: RecordStamp | undefined;
  private readonly _options: SourceLinkOptions;
  private _connection: ControlConnection | undefined;
  private _wantsChanges = false;
  private _closed = false;

  constructor(options: SourceLinkOptions) {
    this._options = options;
    this.openedAt = options.clock.now();
    void this._open();
  }

  /** Milliseconds since the last stamp, or since the link was opened. */
  get silentFor(): number {
    return this._options.clock.now() - Math.max(this.stampedAt, this.openedAt);
  }

  /** Subscribes to changes in addition to stamps, or to stamps only. */
  setWantsChanges(wantsChanges: boolean): void {
    if (wantsChanges === this._wantsChanges) return;
    this._wantsChanges = wantsChanges;
    if (this._connection) this._subscribe(this._connection);
  }

  /** Sends retained records to the source. */
  sendRetained(records: RecordsRetained): void {
    this._connection?.send(records);
  }

  /** Requests the retained records of the source, by subscribing again. */
  requestRetained(): void {
    if (this._connection) this._subscribe(this._connection);
  }

  close(): void {
    this._closed = true;
    this._connection?.close('no longer a source');
  }

  private async _open(): Promise<void> {
    const { address, control } = this._options;
    try {
      const connection = await ControlConnection.connect(...splitAddress(address), control);
      if (this._closed) return connection.close('no longer a source');
      this._connection = connection;
      connection.on('message', (message) => this._onMessage(message));
      connection.once('close', (reason) => this._onClose(reason));
      connection.start();
      this._subscribe(connection);
    } catch (error) {
      this._onClose(errorText(error));
    }
  }

  private _subscribe(connection: ControlConnection): void {
    const revisions = this._options.revisions();
    connection.send({ type: 'record-subscribe', wantsChanges: this._wantsChanges, revisions });
  }

  private _onMessage(message: Message): void {
    if (message.type === 'record-changes' && this._wantsChanges) this._options.onChanges(message);
    if (message.type === 'records-retained') this._options.onRetained(message);
    if (message.type !== 'record-stamp') return;
    this.stamp = message;
    this.stampedAt = this._options.clock.now();
    this._options.onStamp(message);
  }

  private _onClose(reason: string): void {
    if (this._closed) return;
    this._closed = true;
    this._options.onLost(reason);
  }
}
