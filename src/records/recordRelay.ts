/**
 * Sends this process's copies to the entries that subscribe, and adopts the records that those entries retain
 * (`RetainedRecords`).
 */
import { ControlConnection } from '../protocol/controlConnection.js';
import type { Message } from '../protocol/message.js';
import type { RecordChanges, RecordSubscribe } from '../protocol/recordMessages.js';
import type { RecordReplica, ReplicaChange } from './recordReplica.js';
import type { RecordState } from './recordState.js';
import { toWireObject } from './wireObject.js';

/**
 * Interval of the stamps that tell listeners how current the copies are. After a second without one, a listener
 * changes its source.
 */
const STAMP_INTERVAL_MILLISECONDS = 300;

export class RecordRelay {
  private readonly _state: RecordState;
  /** Listeners, and whether each wants changes in addition to stamps. */
  private readonly _listeners = new Map<ControlConnection, boolean>();
  private _timer: NodeJS.Timeout | undefined;

  constructor(state: RecordState) {
    this._state = state;
    for (const replica of state.replicas) replica.on('change', (change) => this._onChange(replica, change));
  }

  /** Number of listening entries. */
  get listeners(): number {
    return this._listeners.size;
  }

  /** Serves a connection that another entry has opened. */
  attach(connection: ControlConnection): void {
    connection.on('message', (message) => {
      if (message.type === 'record-subscribe') this._subscribe(connection, message);
      if (message.type === 'records-retained') this._state.adoptRetained(message);
    });
    connection.once('close', () => this._forget(connection));
    connection.start();
  }

  /** Sends all listeners a stamp that tells how current the copies are. */
  sendStamps(): void {
    for (const wantsChanges of [true, false]) {
      this._broadcast(wantsChanges, this._state.stamp(wantsChanges));
    }
  }

  close(): void {
    clearInterval(this._timer);
    for (const connection of this._listeners.keys()) connection.close('shutting down');
  }

  private _subscribe(connection: ControlConnection, { wantsChanges, revisions }: RecordSubscribe): void {
    this._listeners.set(connection, wantsChanges);
    this._timer ??= setInterval(() => this.sendStamps(), STAMP_INTERVAL_MILLISECONDS);
    if (wantsChanges) {
      for (const replica of this._state.replicas) {
        if (replica.revision > (revisions[replica.kind] ?? 0)) connection.send(fullMessage(replica));
      }
    }
    for (const replica of this._state.replicas) {
      if (replica.retained.length > 0) connection.send(this._state.retainedMessage(replica));
    }
    connection.send(this._state.stamp(wantsChanges));
  }

  private _forget(connection: ControlConnection): void {
    this._listeners.delete(connection);
    if (this._listeners.size > 0) return;
    clearInterval(this._timer);
    this._timer = undefined;
  }

  private _onChange(replica: RecordReplica, change: ReplicaChange): void {
    // Listeners retain and release records by themselves.
    if (change.cause === 'retained') return;
    this._broadcast(true, change.whole ? fullMessage(replica) : changesMessage(replica, change));
    this._broadcast(true, this._state.stamp(true));
  }

  private _broadcast(toChangeListeners: boolean, message: Message): void {
    const receivers = [...this._listeners].filter(([, wantsChanges]) => wantsChanges === toChangeListeners);
    if (receivers.length === 0) return;
    ControlConnection.broadcast(
      receivers.map(([connection]) => connection),
      message,
    );
  }
}

function fullMessage({ kind, revision, stored }: RecordReplica): RecordChanges {
  const wireObjects = stored.map(toWireObject);
  return { type: 'record-changes', kind, revision, whole: true, objects: wireObjects, gone: [] };
}

function changesMessage({ kind, revision }: RecordReplica, { changes }: ReplicaChange): RecordChanges {
  return {
    type: 'record-changes',
    kind,
    revision,
    whole: false,
    objects: changes.filter(({ gone }) => !gone).map(({ object }) => toWireObject(object)),
    gone: changes.filter(({ gone }) => gone).map(({ object }) => object.name),
  };
}
