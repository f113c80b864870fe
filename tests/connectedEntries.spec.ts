/** What an agent asks the connected entries and sends to them. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { EntryList, EntryPresence } from '../src/protocol/boxMessages.js';
import type { ControlConnection } from '../src/protocol/controlConnection.js';
import { FrameReader } from '../src/protocol/frameCodec.js';
import type { Message } from '../src/protocol/message.js';
import { ConnectedEntries } from '../src/staging/connectedEntries.js';
import { createRecordingLog } from './fixtures/recordingLog.js';
import { ManualClock } from '../src/utils/clock.js';
import { quietLog } from './fixtures/quietLog.js';
import { until } from './fixtures/until.js';

/** A connection that records the messages sent on it. */
class RecordedConnection {
  readonly sent: Message[] = [];

  send(message: Message): void {
    this.sent.push(message);
  }

  /** Used by {@link ControlConnection.broadcast}. */
  _writeFrame(frame: Buffer): void {
    for (const message of new FrameReader().push(frame)) this.sent.push(message as Message);
  }

  get lists(): EntryList[] {
    return this.sent.filter((message) => message.type === 'entry-list');
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
    entry: { box, dataCentre: 'north', address: `${box}:1`, control: `${box}:2`, leaving: false },
    wanted: [],
    origin: '',
    hearsStatus: true,
    hearsEntries: false,
    ...changes,
  };
}

function connected(count: number): { entries: ConnectedEntries; connections: RecordedConnection[] } {
  const entries = new ConnectedEntries('north', quietLog(), new ManualClock());
  const connections = Array.from({ length: count }, () => new RecordedConnection());
  connections.forEach((connection, index) => {
    entries.update(connection.asConnection(), presence(`entry-${index}`));
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
  entries.remove(connections[0].asConnection(), 'closed by peer');
  expect(connections.slice(1).filter((connection) => connection.asked)).toHaveLength(3);
  entries.stop();
});

test('should ask an entry once, however often it sends its presence', () => {
  const { entries, connections } = connected(1);
  entries.update(connections[0].asConnection(), presence('entry-0'));
  expect(connections[0].sent).toHaveLength(1);
  entries.stop();
});

test('should report once that an entry is to receive its first status', () => {
  const entries = new ConnectedEntries('north', quietLog(), new ManualClock());
  const connection = new RecordedConnection().asConnection();
  expect(entries.update(connection, presence('a', { hearsStatus: false }))).toEqual(false);
  expect(entries.update(connection, presence('a'))).toEqual(true);
  expect(entries.update(connection, presence('a'))).toEqual(false);
  expect(entries.statusListeners).toEqual(1);
  entries.stop();
});

test('should ask entries of its own data centre before others', () => {
  const entries = new ConnectedEntries('south', quietLog(), new ManualClock());
  const connections = Array.from({ length: 8 }, () => new RecordedConnection());
  const remote = connections.slice(0, 3);
  const local = connections.slice(3);
  remote.forEach((connection, index) =>
    entries.update(connection.asConnection(), presence(`remote-${index}`)),
  );
  local.forEach((connection, index) => {
    const entry = { ...presence(`local-${index}`).entry, dataCentre: 'south' };
    entries.update(connection.asConnection(), presence(`local-${index}`, { entry }));
  });
  remote.forEach((connection) => entries.remove(connection.asConnection(), 'closed by peer'));
  expect(local.filter((connection) => connection.asked)).toHaveLength(3);
  entries.stop();
});

test('should send an entry the whole list once, and then changes', async () => {
  const entries = new ConnectedEntries('north', quietLog(), new ManualClock());
  const listener = new RecordedConnection();
  const other = new RecordedConnection();
  entries.update(listener.asConnection(), presence('listener', { hearsEntries: true }));
  entries.update(other.asConnection(), presence('other'));
  await until(() => listener.lists.length === 1);
  entries.remove(other.asConnection(), 'closed by peer');
  entries.update(new RecordedConnection().asConnection(), presence('third'));
  await until(() => listener.lists.length === 2);
  const [first, second] = listener.lists;
  expect(first.whole).toEqual(true);
  expect(first.entries.map(({ box }) => box)).toEqual(['listener', 'other']);
  expect(second.whole).toEqual(false);
  expect(second.entries.map(({ box }) => box)).toEqual(['third']);
  expect(second.gone).toEqual(['other']);
  entries.stop();
});

test('should log once that an entry is connected, and that its last connection has ended', () => {
  const { log, steps } = createRecordingLog();
  const entries = new ConnectedEntries('north', log, new ManualClock());
  const older = new RecordedConnection().asConnection();
  const newer = new RecordedConnection().asConnection();
  for (const connection of [older, older, newer]) entries.update(connection, presence('a'));
  entries.remove(older, 'silent for too long');
  expect(steps()).toEqual(['entry.connected']);
  entries.remove(newer, 'closed by peer');
  expect(steps()).toEqual(['entry.connected', 'entry.disconnected']);
  entries.stop();
});

test('should send an entry the whole list again when it subscribes again, even at once', async () => {
  const entries = new ConnectedEntries('north', quietLog(), new ManualClock());
  const listener = new RecordedConnection();
  const tell = (hearsEntries: boolean): boolean =>
    entries.update(listener.asConnection(), presence('listener', { hearsEntries }));
  tell(true);
  await until(() => listener.lists.length === 1);
  tell(false);
  tell(true);
  await until(() => listener.lists.length === 2);
  expect(listener.lists[1].whole).toEqual(true);
  entries.stop();
});

test('should list a restarted entry by its newest connection, until its last connection has ended', async () => {
  const entries = new ConnectedEntries('north', quietLog(), new ManualClock());
  const listener = new RecordedConnection();
  const [older, newer] = [new RecordedConnection().asConnection(), new RecordedConnection().asConnection()];
  entries.update(listener.asConnection(), presence('listener', { hearsEntries: true }));
  entries.update(older, presence('b', { entry: { ...presence('b').entry, leaving: true } }));
  entries.update(newer, presence('b'));
  await until(() => listener.lists.length === 1);
  expect(listener.lists[0].entries.map(({ box, leaving }) => [box, leaving])).toEqual([
    ['b', false],
    ['listener', false],
  ]);
  entries.remove(older, 'silent for too long');
  entries.update(new RecordedConnection().asConnection(), presence('c'));
  await until(() => listener.lists.length === 2);
  expect(listener.lists[1].gone).toEqual([]);
  entries.remove(newer, 'silent for too long');
  await until(() => listener.lists.length === 3);
  expect(listener.lists[2].gone).toEqual(['b']);
  entries.stop();
});
