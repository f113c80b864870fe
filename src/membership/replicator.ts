import type { Confirmer } from '../configuration/changeHandler.js';
import type { Replica } from '../configuration/replica.js';
import type { Box } from '../external/boxList.js';
import type { ControlConnection, ControlOptions } from '../protocol/controlConnection.js';
import { ControlConnection as Connection } from '../protocol/controlConnection.js';
import type { Message } from '../protocol/message.js';
import type { ReplicatedRecord } from '../protocol/replicationMessages.js';
import type { Logger } from '../telemetry/logger.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';

export interface ReplicatorOptions {
  control: ControlOptions;
  replica: Replica;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** Returns all entries in the box list, including this one. */
  entries: () => Box[];
}

/** A connected entry and the state it has announced. */
interface EntryPeer {
  connection: ControlConnection;
  leaving: boolean;
}

const DIGEST_INTERVAL_MILLISECONDS = 2_000;
const REDIAL_INTERVAL_MILLISECONDS = 250;
const CONFIRM_TIMEOUT_MILLISECONDS = 2_000;
/** Timeout of each attempt. It is short because a peer that connects during an attempt is asked only in the next. */
const CONFIRM_ATTEMPT_TIMEOUT_MILLISECONDS = 300;
/** Pause between attempts, during which other peers may connect. */
const CONFIRM_RETRY_MILLISECONDS = 50;
const RECORDS_PER_MESSAGE = 200;

/**
 * Replicates records between entries. Sends each change to all peers at once, and at intervals compares digests with a
 * random peer to recover missed changes.
 */
export class Replicator implements Confirmer {
  private readonly _options: ReplicatorOptions;
  private readonly _peers = new Map<string, EntryPeer>();
  private readonly _dialing = new Set<string>();
  private readonly _timers: NodeJS.Timeout[] = [];
  private _peerBoxes: readonly Box[] = [];
  private _leaving = false;
  private _otherDataCentreConnectedAt = Number.NEGATIVE_INFINITY;

  constructor(options: ReplicatorOptions) {
    this._options = options;
    options.replica.on('change', (record, source) => this._broadcast(record, source));
    this._timers.push(setInterval(() => this._sendDigestToRandomPeer(), DIGEST_INTERVAL_MILLISECONDS));
    this._timers.push(setInterval(() => this._dialMissing(), REDIAL_INTERVAL_MILLISECONDS));
  }

  /** Milliseconds since an entry of another data centre was last connected; 0 while one is, infinite if none was. */
  get millisecondsSinceOtherDataCentre(): number {
    const connected = [...this._peers.values()].some((peer) => this._isOtherDataCentre(peer));
    if (connected) this._otherDataCentreConnectedAt = this._options.clock.now();
    return this._options.clock.now() - this._otherDataCentreConnectedAt;
  }

  get peerCount(): number {
    return this._peers.size;
  }

  /** Whether a connected entry has announced that it is leaving. */
  isLeaving(box: string): boolean {
    return this._peers.get(box)?.leaving ?? false;
  }

  isConnected(box: string): boolean {
    return this._peers.has(box);
  }

  /** Sets the entries to connect to. A lost connection is reopened. */
  setPeers(boxes: readonly Box[]): void {
    this._peerBoxes = boxes;
    this._dialMissing();
  }

  /** Uses a connection to another entry, and closes the former one to the same entry. */
  attach(connection: ControlConnection): void {
    const { box } = connection.peer;
    this._peers.get(box)?.connection.close('replaced by a newer connection');
    const peer: EntryPeer = { connection, leaving: false };
    this._peers.set(box, peer);
    connection.on('message', (message) => this._onMessage(peer, message));
    connection.once('close', (reason) => this._onClose(box, peer, reason));
    connection.start();
    connection.send({ type: 'digest', buckets: this._options.replica.digest() });
    if (this._leaving) connection.send({ type: 'entry-state', leaving: true });
    this._options.logger.state('entry.connected', { peer: box });
  }

  /** Announces to all current and later peers that this entry is leaving. */
  announceLeaving(): void {
    this._leaving = true;
    for (const peer of this._peers.values()) peer.connection.send({ type: 'entry-state', leaving: true });
  }

  async confirm(record: ReplicatedRecord): Promise<boolean> {
    const deadline = this._options.clock.now() + CONFIRM_TIMEOUT_MILLISECONDS;
    while (this._options.clock.now() < deadline) {
      const candidates = this._confirmingPeers();
      if (candidates === 'none-exist') return true;
      if (await this._isConfirmedByAny(candidates, record)) return true;
      await pause(CONFIRM_RETRY_MILLISECONDS);
    }
    return false;
  }

  /** Asks a peer for its revision of `key`. Returns undefined if it doesn't answer. */
  async revisionAt(box: string, key: string): Promise<number | undefined> {
    try {
      const reply = await this._peers.get(box)?.connection.call({ type: 'revision-query', key });
      return reply?.revision;
    } catch {
      return undefined;
    }
  }

  close(): void {
    for (const timer of this._timers) clearInterval(timer);
    for (const peer of this._peers.values()) peer.connection.close('shutting down');
  }

  private async _isConfirmedByAny(
    candidates: readonly EntryPeer[],
    record: ReplicatedRecord,
  ): Promise<boolean> {
    const calls = candidates.map((peer) =>
      peer.connection.call({ type: 'records', records: [record] }, CONFIRM_ATTEMPT_TIMEOUT_MILLISECONDS),
    );
    try {
      return (await Promise.any(calls)).accepted;
    } catch {
      return false;
    }
  }

  /**
   * Returns the connected peers that can confirm a change: those of other data centres if the box list has entries
   * there, otherwise those of this data centre. Returns 'none-exist' if this is the only entry.
   */
  private _confirmingPeers(): EntryPeer[] | 'none-exist' {
    const { dataCentre, box } = this._options.control.identity;
    const others = this._options.entries().filter((entry) => entry.box !== box);
    if (others.length === 0) return 'none-exist';
    const needsOtherDataCentre = others.some((entry) => entry.dataCentre !== dataCentre);
    const peers = [...this._peers.values()];
    return needsOtherDataCentre ? peers.filter((peer) => this._isOtherDataCentre(peer)) : peers;
  }

  private _isOtherDataCentre(peer: EntryPeer): boolean {
    return peer.connection.peer.dataCentre !== this._options.control.identity.dataCentre;
  }

  private _onMessage(peer: EntryPeer, message: Message): void {
    const { replica } = this._options;
    const from = peer.connection.peer.box;
    if (message.type === 'records') {
      for (const record of message.records) replica.apply(record as ReplicatedRecord, from);
      if (message.call !== undefined) peer.connection.reply(message.call, { accepted: true });
    } else if (message.type === 'digest') {
      this._sendRecords(peer, replica.recordsDifferingFrom(message.buckets));
    } else if (message.type === 'revision-query') {
      const revision = replica.record(message.key)?.revision ?? 0;
      peer.connection.reply(message.call, { accepted: true, revision });
    } else if (message.type === 'entry-state') {
      peer.leaving = message.leaving;
    }
  }

  private _onClose(box: string, peer: EntryPeer, reason: string): void {
    if (this._peers.get(box) !== peer) return;
    if (this._isOtherDataCentre(peer)) this._otherDataCentreConnectedAt = this._options.clock.now();
    this._peers.delete(box);
    this._options.logger.state('entry.lost', { peer: box, reason });
  }

  private _broadcast(record: ReplicatedRecord, source: string): void {
    for (const [box, peer] of this._peers) {
      if (box !== source) this._sendRecords(peer, [record]);
    }
  }

  private _sendRecords(peer: EntryPeer, records: readonly ReplicatedRecord[]): void {
    for (let start = 0; start < records.length; start += RECORDS_PER_MESSAGE) {
      peer.connection.send({ type: 'records', records: records.slice(start, start + RECORDS_PER_MESSAGE) });
    }
  }

  /** Makes a peer send the records that this entry lacks. The peer gets those that it lacks by its own digests. */
  private _sendDigestToRandomPeer(): void {
    const peers = [...this._peers.values()];
    if (peers.length === 0) return;
    const peer = peers[this._options.random.integer(peers.length)];
    peer.connection.send({ type: 'digest', buckets: this._options.replica.digest() });
  }

  private _dialMissing(): void {
    for (const box of this._peerBoxes) {
      if (this._peers.has(box.box) || this._dialing.has(box.box)) continue;
      this._dialing.add(box.box);
      void this._dial(box).finally(() => this._dialing.delete(box.box));
    }
  }

  private async _dial(box: Box): Promise<void> {
    try {
      this.attach(await Connection.connect(box.address, box.controlPort, this._options.control));
    } catch (error) {
      this._options.logger.decision('entry.redial', { peer: box.box, reason: errorText(error) });
    }
  }
}
