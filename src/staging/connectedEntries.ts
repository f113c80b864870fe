/** The entries that are connected to this agent, and what each of them wants to hear or is asked for. */
import type { EntryAddress, EntryPresence, ServerNotice } from '../protocol/boxMessages.js';
import { ControlConnection } from '../protocol/controlConnection.js';
import type { Message } from '../protocol/message.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { CoalescedCall } from '../utils/coalescedCall.js';
import { compareText } from '../utils/rendezvous.js';
import { ServerNotices } from './serverNotices.js';
import type { StatusAudience } from './statusSender.js';

/** Entries that are asked who the other agents are: any of them may be lost, and more would only repeat it. */
const ASKED_ENTRIES = 3;
/**
 * How long changes are gathered for each entry that is told of them: what a list costs grows with their number, and many
 * entries start or stop together.
 */
const GATHER_PER_LISTENER_MILLISECONDS = 5;
const SHORTEST_GATHER_MILLISECONDS = 15;
/** Reached with 120 listeners; an entry that is off is named until its end has been told. */
export const LONGEST_GATHER_MILLISECONDS = 600;

interface ConnectedEntry {
  address: EntryAddress;
  hearsStatus: boolean;
  hearsEntries: boolean;
  /** Whether the entry has been asked who the other agents are. */
  asked: boolean;
  /** Whether it has been told all that {@link ConnectedEntries} has told before. */
  synced: boolean;
}

export class ConnectedEntries {
  private readonly _dataCentre: string;
  private readonly _log: EventLog;
  private readonly _serverNotices: ServerNotices;
  private readonly _entries = new Map<ControlConnection, ConnectedEntry>();
  private readonly _changed = new CoalescedCall(
    () => gatherMilliseconds(this._listeners().length),
    () => this._tell(),
  );
  /** Entries by box, as the listeners have been told. */
  private _told = new Map<string, EntryAddress>();

  /** `dataCentre` is that of this box. */
  constructor(dataCentre: string, log: EventLog, clock: Clock) {
    this._dataCentre = dataCentre;
    this._log = log;
    this._serverNotices = new ServerNotices(clock);
  }

  get count(): number {
    return this._entries.size;
  }

  /** Entries that hear the status of this box. */
  get statusListeners(): number {
    return [...this._entries.values()].filter((entry) => entry.hearsStatus).length;
  }

  /** Notes what an entry says of itself; returns whether it has not heard a status yet that it wants. */
  note(connection: ControlConnection, presence: EntryPresence): boolean {
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
    this._askEnough();
    this._changed.schedule();
    return hearsStatus && !known?.hearsStatus;
  }

  /** The connection has ended, for `reason`. */
  forget(connection: ControlConnection, reason: string): void {
    const box = this._entries.get(connection)?.address.box;
    this._entries.delete(connection);
    if (box !== undefined && !this._isConnected(box))
      this._log.state('entry.disconnected', { entry: box, reason });
    this._askEnough();
    this._changed.schedule();
  }

  /** Sends a message to all entries that send requests to the backend server of this box. */
  broadcastToRouted(message: Message): void {
    this.broadcastStatus(message, 'all');
  }

  /** Takes what an entry has heard from servers, and passes on to all what is new. */
  takeServerNotices(notices: readonly ServerNotice[]): void {
    const changed = this._serverNotices.take(notices);
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

  /** Sends a status to the entries that want it: to all of them, or to those of this data centre. */
  broadcastStatus(message: Message, audience: StatusAudience): void {
    const heard = [...this._entries].filter(
      ([, entry]) =>
        entry.hearsStatus && (audience === 'all' || entry.address.dataCentre === this._dataCentre),
    );
    ControlConnection.broadcast(
      heard.map(([connection]) => connection),
      message,
    );
  }

  stop(): void {
    this._changed.cancel();
  }

  /** Asks those of this data centre first: lists of agents are long, and bytes between data centres have their price. */
  private _askEnough(): void {
    let asked = [...this._entries.values()].filter((entry) => entry.asked).length;
    if (asked >= ASKED_ENTRIES) return;
    const free = [...this._entries].filter(([, entry]) => !entry.asked && !entry.address.leaving);
    const isNear = (entry: ConnectedEntry): boolean => entry.address.dataCentre === this._dataCentre;
    free.sort(([, a], [, b]) => Number(isNear(b)) - Number(isNear(a)));
    for (const [connection, entry] of free) {
      if (asked >= ASKED_ENTRIES) return;
      entry.asked = true;
      asked++;
      connection.send({ type: 'agent-list-query', wanted: true });
    }
  }

  /** Whether the entry on `box` has any connection: a restarted one may have two for a while. */
  private _isConnected(box: string): boolean {
    return [...this._entries.values()].some(({ address }) => address.box === box);
  }

  private _listeners(): [ControlConnection, ConnectedEntry][] {
    return [...this._entries].filter(([, entry]) => entry.hearsEntries);
  }

  /** Tells the entries that want to know who is connected: all of it at first, then what has changed. */
  private _tell(): void {
    const listeners = this._listeners();
    const current = new Map([...this._entries.values()].map(({ address }) => [address.box, address]));
    const changed = [...current.values()].filter((entry) => !isSame(entry, this._told.get(entry.box)));
    const gone = [...this._told.keys()].filter((box) => !current.has(box));
    this._told = current;
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
    const told = listeners.filter(([, entry]) => entry.synced === toSynced);
    if (told.length === 0) return;
    ControlConnection.broadcast(
      told.map(([connection]) => connection),
      message,
    );
  }
}

function gatherMilliseconds(listeners: number): number {
  const wanted = GATHER_PER_LISTENER_MILLISECONDS * listeners;
  return Math.min(LONGEST_GATHER_MILLISECONDS, Math.max(SHORTEST_GATHER_MILLISECONDS, wanted));
}

function isSame(a: EntryAddress, b: EntryAddress | undefined): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
