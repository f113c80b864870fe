/** Control connections between agents: one for each pair of agents, shared by all rollouts. */
import type { ControlOptions } from '../protocol/controlConnection.js';
import { ControlConnection } from '../protocol/controlConnection.js';
import type { Message } from '../protocol/message.js';
import type { Member } from '../protocol/rolloutMessages.js';
import type { Logger } from '../telemetry/logger.js';
import { Backoff } from '../utils/backoff.js';
import type { Random } from '../utils/random.js';
import { compareText } from '../utils/rendezvous.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';

/** Receives changes of connections, and messages. */
export interface AgentPeersListener {
  onPeerUp(box: string): void;
  onPeerDown(box: string): void;
  onPeerMessage(box: string, message: Message): void;
}

const REDIAL_BACKOFF = { firstMilliseconds: 50, longestMilliseconds: 2_000 };
/**
 * How long the first connection to a peer may take before the peer counts as unreachable. Agents that start together
 * connect within 0.2 s. Without this time, in 1 of 12 starts of four boxes on a busy machine, other agents fetched
 * the peer's chunks from the origin as well.
 */
const FIRST_CONNECTION_TIMEOUT_MILLISECONDS = 500;

/** Connects an agent to its peers. An agent dials the peers whose box names sort after its own; the others dial it. */
export class AgentPeers {
  private readonly _options: ControlOptions;
  private readonly _random: Random;
  private readonly _logger: Logger;
  private readonly _listener: AgentPeersListener;
  /** The peers to connect to, by box. */
  private readonly _members = new Map<string, Member>();
  private readonly _connections = new Map<string, ControlConnection>();
  private readonly _dialing = new Set<string>();
  /** Timeouts of the first connections, by box; a peer with one does not count as unreachable yet. */
  private readonly _firstConnectionTimers = new Map<string, NodeJS.Timeout>();
  private readonly _stopped = new AbortController();

  constructor(options: ControlOptions, random: Random, logger: Logger, listener: AgentPeersListener) {
    this._options = options;
    this._random = random;
    this._logger = logger;
    this._listener = listener;
  }

  isConnected(box: string): boolean {
    return this._connections.has(box);
  }

  /** Whether a peer is not connected although the time for its first connection has passed. */
  isUnreachable(box: string): boolean {
    return !this._connections.has(box) && !this._firstConnectionTimers.has(box);
  }

  /** Sends a message to a peer, or drops it when the peer is not connected. */
  send(box: string, message: Message): void {
    this._connections.get(box)?.send(message);
  }

  /** Encodes a message once and sends it to those of `boxes` that are connected. */
  broadcast(boxes: Iterable<string>, message: Message): void {
    const connections = [...boxes].map((box) => this._connections.get(box));
    ControlConnection.broadcast(
      connections.filter((connection) => connection !== undefined),
      message,
    );
  }

  /** Replaces the peers to connect to. Does not close connections to former peers. */
  setPeers(members: readonly Member[]): void {
    const added = members.filter(({ box }) => !this._members.has(box));
    this._members.clear();
    for (const member of members) this._members.set(member.box, member);
    for (const { box } of added) this._awaitFirstConnection(box);
    for (const member of members) this._dial(member);
  }

  /** Adds an open connection to a peer, in place of a former one. */
  attach(connection: ControlConnection): void {
    const { box } = connection.peer;
    this._connections.get(box)?.close('replaced by a newer connection');
    this._connections.set(box, connection);
    this._clearFirstConnectionTimer(box);
    connection.on('message', (message) => this._listener.onPeerMessage(box, message));
    connection.once('close', (reason) => this._onClose(box, connection, reason));
    this._listener.onPeerUp(box);
    connection.start();
  }

  close(): void {
    this._stopped.abort();
    for (const box of [...this._firstConnectionTimers.keys()]) this._clearFirstConnectionTimer(box);
    for (const connection of this._connections.values()) connection.close('shutting down');
  }

  private _onClose(box: string, connection: ControlConnection, reason: string): void {
    if (this._connections.get(box) !== connection) return;
    this._connections.delete(box);
    this._logger.state('peer.down', { peer: box, reason });
    this._listener.onPeerDown(box);
    const member = this._members.get(box);
    if (member) this._dial(member);
  }

  private _awaitFirstConnection(box: string): void {
    if (this._connections.has(box) || this._firstConnectionTimers.has(box)) return;
    const timer = setTimeout(
      () => this._clearFirstConnectionTimer(box),
      FIRST_CONNECTION_TIMEOUT_MILLISECONDS,
    );
    this._firstConnectionTimers.set(box, timer);
  }

  private _clearFirstConnectionTimer(box: string): void {
    clearTimeout(this._firstConnectionTimers.get(box));
    this._firstConnectionTimers.delete(box);
  }

  private _dial(member: Member): void {
    const { box } = member;
    const peerDials = compareText(this._options.identity.box, box) > 0;
    if (peerDials || this._connections.has(box) || this._dialing.has(box)) return;
    this._dialing.add(box);
    void this._dialUntilConnected(member).finally(() => this._dialing.delete(box));
  }

  private async _dialUntilConnected(member: Member): Promise<void> {
    const backoff = new Backoff(REDIAL_BACKOFF, this._random);
    while (this._members.has(member.box) && !this._stopped.signal.aborted) {
      try {
        this.attach(await ControlConnection.connect(member.address, member.controlPort, this._options));
        return;
      } catch (error) {
        this._logger.decision('peer.redial', { peer: member.box, reason: errorText(error) });
        await pause(backoff.nextWait(), this._stopped.signal);
      }
    }
  }
}
