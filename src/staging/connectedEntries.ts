/** The entries that are connected to this agent, and the messages that each of them subscribes to. */
import type { EntryAddress, EntryPresence, ServerNotice } from '../protocol/boxMessages.js';
import { ControlConnection } from '../protocol/controlConnection.js';
import type { Message } from '../protocol/message.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { CoalescedCall } from '../utils/coalescedCall.js';
import { compareText } from '../utils/rendezvous.js';
import { ServerNotices } from './serverNotices.js';
import type { StatusAudience } from './statusSender.js';

/** Maximum number of entries that are asked for the list of agents: several, since any of them may be lost. */
const MAX_ASKED_ENTRIES = 3;
/**
 * How long changes of the entry list are batched, multiplied by the number of entries that receive them: the cost
 * of a list grows with that number, and many entries start or stop at the same time.
 */
const BATCH_DELAY_PER_LISTENER_MILLISECONDS = 5;
const MIN_BATCH_DELAY_MILLISECONDS = 15;
/** Reached with 120 listeners. An entry that has disconnected is still listed by the others for at most this time. */
export const MAX_BATCH_DELAY_MILLISECONDS = 600;

interface ConnectedEntry {
  address: EntryAddress;
  hearsStatus: boolean;
  hearsEntries: boolean;
  /** Whether the entry has been asked for the list of agents. */
  asked: boolean;
  /** Whether the entry has received the whole entry list, and so needs only changes. */
  synced: boolean;
}

export class ConnectedEntries {
  private readonly _dataCentre: string;
  private readonly _log: EventLog;
  private readonly _serverNotices: ServerNotices;
  private readonly _entries = new Map<ControlConnection, ConnectedEntry>();
  private readonly _scheduledSend = new CoalescedCall(
    () => batchDelayMilliseconds(this._listeners().length),
    () => this._sendEntries(),
  );
  /** Entries by box, as last sent to the listeners. */
  private _sentEntries = new Map<string, EntryAddress>();

  /** `dataCentre` is that of this box. */
  constructor(dataCentre: string, log: EventLog, clock: Clock) {
    this._dataCentre = dataCentre;
    this._log = log;
    this._serverNotices = new ServerNotices(clock);
  }

  get count(): number {
    return this._entries.size;
  }

  /** Number of entries that receive the status of this box. */
  get statusListeners(): number {
    return [...this._entries.values()].filter((entry) => entry.hearsStatus).length;
  }

  /** Updates an entry with its presence message. Returns whether it is to receive its first status. */
  update(connection: ControlConnection, presence: EntryPresence): boolean {
    const known = this._entries.get(connection);
    const { entry: address, hearsStatus, hearsEntries } = presence;
    if (!this._isConnected(address.box)) this._log.state('entry.connected', { entry: address.box });
    this._entries.set(connection, {
      address,
      hearsStatus,
      hearsEntries,
      asked: known?.asked ?? false,
      synced: known?.synced === true && hearsEntries,
    });
    if (hearsEntries && !known?.hearsEntries) this._sendNotices(connection);
    this._askForAgents();
    this._scheduledSend.schedule();
    return hearsStatus && !known?.hearsStatus;
  }

  /** Removes a connection, which has ended for `reason`. */
  remove(connection: ControlConnection, reason: string): void {
    const box = this._entries.get(connection)?.address.box;
    this._entries.delete(connection);
    if (box !== undefined && !this._isConnected(box))
      this._log.state('entry.disconnected', { entry: box, reason });
    this._askForAgents();
    this._scheduledSend.schedule();
  }

  /** Sends a message to all entries that receive the status of this box: those that send requests to it. */
  sendToStatusListeners(message: Message): void {
    this.broadcastStatus(message, 'all');
  }

  /** Merges the server notices that an entry reports, and forwards the new ones to all listeners. */
  mergeServerNotices(notices: readonly ServerNotice[]): void {
    const changed = this._serverNotices.merge(notices);
    if (changed.length === 0) return;
    ControlConnection.broadcast(
      this._listeners().map(([connection]) => connection),
      { type: 'server-notices', notices: changed },
    );
  }

  private _sendNotices(connection: ControlConnection): void {
    const notices = this._serverNotices.all();
    if (notices.length > 0) connection.send({ type: 'server-notices', notices });
  }

  /** Sends a status to the entries that subscribe to it: to all of them, or to those of this data centre. */
  broadcastStatus(message: Message, audience: StatusAudience): void {
    const receivers = [...this._entries].filter(
      ([, entry]) =>
        entry.hearsStatus && (audience === 'all' || entry.address.dataCentre === this._dataCentre),
    );
    ControlConnection.broadcast(
      receivers.map(([connection]) => connection),
      message,
    );
  }

  stop(): void {
    this._scheduledSend.cancel();
  }

  /**
   * Asks a few entries for the list of agents, those of this data centre first: the lists are long, and traffic between
   * data centres is expensive.
   */
  private _askForAgents(): void {
    let asked = [...this._entries.values()].filter((entry) => entry.asked).length;
    if (asked >= MAX_ASKED_ENTRIES) return;
    const unasked = [...this._entries].filter(([, entry]) => !entry.asked && !entry.address.leaving);
    const isLocal = (entry: ConnectedEntry): boolean => entry.address.dataCentre === this._dataCentre;
    unasked.sort(([, a], [, b]) => Number(isLocal(b)) - Number(isLocal(a)));
    for (const [connection, entry] of unasked) {
      if (asked >= MAX_ASKED_ENTRIES) return;
      entry.asked = true;
      asked++;
      connection.send({ type: 'agent-list-query', wanted: true });
    }
  }

  /** Whether the entry on `box` has any connection. A restarted entry may have two for a while. */
  private _isConnected(box: string): boolean {
    return [...this._entries.values()].some(({ address }) => address.box === box);
  }

  private _listeners(): [ControlConnection, ConnectedEntry][] {
    return [...this._entries].filter(([, entry]) => entry.hearsEntries);
  }

  /** Sends the connected entries to the listeners: the whole list at first, then only changes. */
  private _sendEntries(): void {
    const listeners = this._listeners();
    const current = new Map([...this._entries.values()].map(({ address }) => [address.box, address]));
    const changed = [...current.values()].filter((entry) => !isSame(entry, this._sentEntries.get(entry.box)));
    const gone = [...this._sentEntries.keys()].filter((box) => !current.has(box));
    this._sentEntries = current;
    if (changed.length + gone.length > 0)
      this._send(listeners, true, { type: 'entry-list', whole: false, entries: changed, gone });
    const entries = [...current.values()].sort((a, b) => compareText(a.box, b.box));
    this._send(listeners, false, { type: 'entry-list', whole: true, entries, gone: [] });
    for (const [, entry] of listeners) entry.synced = true;
  }

  private _send(
    listeners: readonly [ControlConnection, ConnectedEntry][],
    toSynced: boolean,
    message: Message,
  ): void {
    const receivers = listeners.filter(([, entry]) => entry.synced === toSynced);
    if (receivers.length === 0) return;
    ControlConnection.broadcast(
      receivers.map(([connection]) => connection),
      message,
    );
  }
}

function batchDelayMilliseconds(listeners: number): number {
  const wanted = BATCH_DELAY_PER_LISTENER_MILLISECONDS * listeners;
  return Math.min(MAX_BATCH_DELAY_MILLISECONDS, Math.max(MIN_BATCH_DELAY_MILLISECONDS, wanted));
}

function isSame(a: EntryAddress, b: EntryAddress | undefined): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
