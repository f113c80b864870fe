/** Control connections from an entry to the agents on the boxes of backend servers. */
import type { ServerSignals } from '../backpressure/serverSignals.js';
import type {
  AgentAddress,
  AgentList,
  BoxStatus,
  EntryList,
  EntryPresence,
  HeardVersion,
} from '../protocol/boxMessages.js';
import type { ControlOptions } from '../protocol/controlConnection.js';
import { ControlConnection } from '../protocol/controlConnection.js';
import type { Message } from '../protocol/message.js';
import type { EventLog } from '../telemetry/eventLog.js';
import { Backoff } from '../utils/backoff.js';
import { splitAddress } from '../utils/hostPort.js';
import type { Random } from '../utils/random.js';
import { CoalescedCall } from '../utils/coalescedCall.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';

export interface BoxLinksOptions {
  control: ControlOptions;
  random: Random;
  log: EventLog;
  /** Backpressure signals, which entries exchange through the agents that they subscribe to. */
  signals: ServerSignals;
  /** Builds the presence message for an agent. */
  presence: (agent: AgentAddress) => EntryPresence;
  /** Builds the list of the other agents that an agent should know. */
  agentList: (agent: AgentAddress) => AgentList;
  onStatus: (agent: AgentAddress, status: BoxStatus) => void;
  onEntries: (agent: AgentAddress, list: EntryList) => void;
  onHeard: (agent: AgentAddress, versions: readonly HeardVersion[]) => void;
  /** Called when the entry list of an agent is subscribed to; the complete list follows on this connection. */
  onSubscribed: (agent: AgentAddress, connection: ControlConnection) => void;
  /** Called when the subscription or the connection to an agent ends. */
  onUnsubscribed: (agent: AgentAddress) => void;
}

const BATCH_MILLISECONDS = 15;
const RECONNECT_BACKOFF = { firstMilliseconds: 200, longestMilliseconds: 1_500 };

interface Link {
  agent: AgentAddress;
  stopped: AbortController;
  connection: ControlConnection | undefined;
  /** Whether the agent has requested the agents of its service from this entry. */
  wantsAgents: boolean;
  /** Whether this entry has subscribed to the entry list of the agent. */
  isSubscribed: boolean;
  /** The presence last sent on the connection, without the ages in it. */
  sentPresence: string;
  sentAgents: string;
  /** The list that {@link Link.sentAgents} was serialised from, to skip unchanged lists. */
  sentAgentList: readonly AgentAddress[] | undefined;
}

/** Keeps one connection to every selected agent. */
export class BoxLinks {
  private readonly _options: BoxLinksOptions;
  private readonly _links = new Map<string, Link>();
  private readonly _announcement = new CoalescedCall(
    () => BATCH_MILLISECONDS,
    () => {
      for (const link of this._links.values()) this._sendUpdates(link);
    },
  );

  constructor(options: BoxLinksOptions) {
    this._options = options;
    options.signals.on('change', (notices) => this._sendToSubscribed({ type: 'server-notices', notices }));
  }

  /** Number of connected agents. */
  get connected(): number {
    return [...this._links.values()].filter((link) => link.connection !== undefined).length;
  }

  /** Sends a probe to the agents on these boxes to measure the round trip. */
  probe(boxes: Iterable<string>): void {
    for (const box of boxes) this._links.get(box)?.connection?.probe();
  }

  /** Lower bound for the round trip to the agent on `box`, in milliseconds; 0 while it is not measured. */
  delayMilliseconds(box: string): number {
    return this._links.get(box)?.connection?.delayMilliseconds ?? 0;
  }

  /** Connects to exactly these agents and closes all other connections. */
  setAgents(agents: readonly AgentAddress[]): void {
    const wanted = new Map(agents.map((agent) => [agent.box, agent]));
    for (const [box, link] of this._links) {
      if (wanted.has(box)) continue;
      this._links.delete(box);
      link.stopped.abort();
      link.connection?.close('no longer wanted');
    }
    for (const agent of agents) {
      if (this._links.has(agent.box)) continue;
      const link: Link = {
        agent,
        stopped: new AbortController(),
        connection: undefined,
        wantsAgents: false,
        isSubscribed: false,
        sentPresence: '',
        sentAgents: '',
        sentAgentList: undefined,
      };
      this._links.set(agent.box, link);
      void this._keepConnected(link);
    }
  }

  /** Sends changes to the agents, batched with others that follow within a few milliseconds. */
  announce(): void {
    this._announcement.schedule();
  }

  /** Sends changes to the agents without waiting. */
  announceNow(): void {
    this._announcement.flush();
  }

  close(): void {
    this._announcement.cancel();
    this.setAgents([]);
  }

  private _sendToSubscribed(message: Message): void {
    for (const { connection, isSubscribed } of this._links.values())
      if (isSubscribed) connection?.send(message);
  }

  /** Sends the presence and the agent list if they differ from the last ones sent. */
  private _sendUpdates(link: Link): void {
    const { connection, agent } = link;
    if (!connection) return;
    const presence = this._options.presence(agent);
    const text = serialisePresence(presence);
    if (text !== link.sentPresence) connection.send(presence);
    link.sentPresence = text;
    this._setSubscribed(link, connection, presence.hearsEntries);
    if (link.wantsAgents) this._sendAgents(link, connection);
  }

  /** Handles the start or end of the subscription to an agent, after the presence message has announced it. */
  private _setSubscribed(
    link: Link,
    connection: ControlConnection,
    isSubscribed: boolean,
    reason?: string,
  ): void {
    const { agent } = link;
    if (link.isSubscribed === isSubscribed) return;
    link.isSubscribed = isSubscribed;
    if (isSubscribed) {
      const notices = this._options.signals.notices();
      if (notices.length > 0) connection.send({ type: 'server-notices', notices });
      this._options.log.state('agent.asked', { agent: agent.box });
      return this._options.onSubscribed(agent, connection);
    }
    const silent = Math.round(connection.silentMilliseconds);
    this._options.log.state('agent.not-asked', { agent: agent.box, reason, silent });
    this._options.onUnsubscribed(agent);
  }

  private _sendAgents(link: Link, connection: ControlConnection): void {
    const list = this._options.agentList(link.agent);
    if (list.agents === link.sentAgentList) return;
    link.sentAgentList = list.agents;
    const agents = JSON.stringify(list.agents);
    if (agents !== link.sentAgents) connection.send(list);
    link.sentAgents = agents;
  }

  private async _keepConnected(link: Link): Promise<void> {
    const backoff = new Backoff(RECONNECT_BACKOFF, this._options.random);
    while (!link.stopped.signal.aborted) {
      try {
        await this._connectOnce(link);
        backoff.reset();
      } catch (error) {
        this._options.log.decision('agent.unreachable', { agent: link.agent.box, reason: errorText(error) });
      }
      await pause(backoff.nextWait(), link.stopped.signal);
    }
  }

  /** Connects to the agent; resolves when the connection is lost. */
  private async _connectOnce(link: Link): Promise<void> {
    const { agent } = link;
    const [host, port] = splitAddress(agent.address);
    const connection = await ControlConnection.connect(host, port, this._options.control);
    if (link.stopped.signal.aborted) return connection.close('no longer wanted');
    link.connection = connection;
    this._options.log.state('agent.connected', { agent: agent.box });
    const closed = new Promise<string>((resolve) => connection.once('close', resolve));
    connection.on('message', (message) => this._onMessage(link, message));
    connection.start();
    // Probe once while the link is idle: a peer is known to support probes only after it has answered one.
    connection.probe();
    link.wantsAgents = false;
    link.sentPresence = '';
    link.sentAgents = '';
    link.sentAgentList = undefined;
    this._sendUpdates(link);
    const reason = await closed;
    link.connection = undefined;
    this._options.log.state('agent.lost', { agent: agent.box, reason });
    this._setSubscribed(link, connection, false, reason);
  }

  private _onMessage(link: Link, message: Message): void {
    if (message.type === 'box-status') this._options.onStatus(link.agent, message);
    if (message.type === 'entry-list') this._options.onEntries(link.agent, message);
    if (message.type === 'versions-heard') this._options.onHeard(link.agent, message.versions);
    if (message.type === 'server-notices') this._options.signals.applyNotices(message.notices);
    if (message.type !== 'agent-list-query') return;
    link.wantsAgents = message.wanted;
    this._sendUpdates(link);
  }
}

/**
 * Serialises a presence without the ages in it, which change all the time, and without what the agent itself has
 * reported on the connection.
 */
function serialisePresence({ wanted, heard, confirmed: _confirmed, ...rest }: EntryPresence): string {
  const versions = [...wanted, ...(heard ?? [])];
  return JSON.stringify([rest, versions.map(({ model, version }) => [model, version])]);
}
