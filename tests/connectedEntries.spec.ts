/** What an agent asks of the entries that are connected to it, and tells them. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { EntryPresence } from '../src/protocol/boxMessages.js';
import type { ControlConnection } from '../src/protocol/controlConnection.js';
import type { Message } from '../src/protocol/message.js';
import { ConnectedEntries } from '../src/staging/connectedEntries.js';

/** A connection that only notes what is sent on it. */
class NotedConnection {
  readonly sent: Message[] = [];

  send(message: Message): void {
    this.sent.push(message);
  }

  get asked(): boolean {
    return this.sent.some((message) => message.type === 'agent-list-query' && message.wanted);
  }

  asConnection(): ControlConnection {
    return this as unknown as ControlConnection;
  }
}

function presence(box: string, changes: Partial<EntryPresence> = {}): EntryPresence {
  return {
    type: 'entry-presence',
    entry: { box, hall: 'north', address: `${box}:1`, control: `${box}:2`, leaving: false },
    wanted: [],
    origin: '',
    hearsStatus: true,
    hearsEntries: false,
    ...changes,
  };
}

function connected(count: number): { entries: ConnectedEntries; connections: NotedConnection[] } {
  const entries = new ConnectedEntries('north');
  const connections = Array.from({ length: count }, () => new NotedConnection());
  connections.forEach((connection, index) => {
    entries.note(connection.asConnection(), presence(`entry-${index}`));
  });
  return { entries, connections };
}

test('should ask three of its entries who the other agents are', () => {
  const { entries, connections } = connected(10);
  expect(connections.filter((connection) => connection.asked)).toHaveLength(3);
  entries.stop();
});

test('should ask another entry when one that it asked is lost', () => {
  const { entries, connections } = connected(5);
  entries.forget(connections[0].asConnection());
  expect(connections.slice(1).filter((connection) => connection.asked)).toHaveLength(3);
  entries.stop();
});

test('should ask an entry once, however often that tells of itself', () => {
  const { entries, connections } = connected(1);
  entries.note(connections[0].asConnection(), presence('entry-0'));
  expect(connections[0].sent).toHaveLength(1);
  entries.stop();
});

test('should want a status for an entry that sends requests, once', () => {
  const entries = new ConnectedEntries('north');
  const connection = new NotedConnection().asConnection();
  expect(entries.note(connection, presence('a', { hearsStatus: false }))).toEqual(false);
  expect(entries.note(connection, presence('a'))).toEqual(true);
  expect(entries.note(connection, presence('a'))).toEqual(false);
  expect(entries.statusListeners).toEqual(1);
  entries.stop();
});
