/** The entries that are connected to this agent; a few agents tell each entry who the others are. */
import type { EntryAddress } from '../protocol/boxMessages.js';
import { ControlConnection } from '../protocol/controlConnection.js';
import type { Message } from '../protocol/message.js';
import type { Member } from '../protocol/rolloutMessages.js';
import { Gathered } from '../utils/gathered.js';
import type { StatusAudience } from './statusSender.js';
import { compareText, isAmongFirst } from '../utils/rendezvous.js';

/** Agents that tell an entry who the other entries are: any of them may be lost, and more would only repeat it. */
const LISTING_AGENTS = 4;
const GATHER_MILLISECONDS = 15;

/** Where this agent is. */
export interface BoxPlace {
  box: string;
  hall: string;
}

export class ConnectedEntries {
  private readonly _place: BoxPlace;
  private readonly _members: () => readonly Member[];
  private readonly _entries = new Map<ControlConnection, EntryAddress>();
  private readonly _changed = new Gathered(GATHER_MILLISECONDS, () => this._tell());

  /** `members` are all agents of the service. */
  constructor(place: BoxPlace, members: () => readonly Member[]) {
    this._place = place;
    this._members = members;
  }

  get count(): number {
    return this._entries.size;
  }

  /** Notes what an entry says of itself; returns whether it is new. */
  note(connection: ControlConnection, entry: EntryAddress): boolean {
    const isNew = !this._entries.has(connection);
    this._entries.set(connection, entry);
    this._changed.call();
    return isNew;
  }

  forget(connection: ControlConnection): void {
    this._entries.delete(connection);
    this._changed.call();
  }

  /** The agents of the service have changed, and with them who tells whom. */
  refresh(): void {
    this._changed.call();
  }

  /** Sends a message to all of them, or to those of this hall. */
  broadcast(message: Message, audience: StatusAudience): void {
    const heard = [...this._entries].filter(
      ([, entry]) => audience === 'all' || entry.hall === this._place.hall,
    );
    ControlConnection.broadcast(
      heard.map(([connection]) => connection),
      message,
    );
  }

  stop(): void {
    this._changed.cancel();
  }

  /** Tells the entries for which this agent is one of the few that do, as all agents work out alike. */
  private _tell(): void {
    const told = [...this._entries].filter(([, entry]) => this._listsFor(entry.box));
    const entries = [...this._entries.values()].sort((a, b) => compareText(a.box, b.box));
    ControlConnection.broadcast(
      told.map(([connection]) => connection),
      { type: 'entry-list', entries },
    );
  }

  private _listsFor(entry: string): boolean {
    const members = this._members();
    return members.length === 0 || isAmongFirst(LISTING_AGENTS, this._place.box, entry, members);
  }
}
