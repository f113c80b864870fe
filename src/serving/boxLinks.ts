/** Control connections from an entry to the agents beside backend servers. */
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

/** What the links work with. */
export interface BoxLinksOptions {
  control: ControlOptions;
  random: Random;
  log: EventLog;
  /** What servers ask for, which entries tell each other by way of the agents that they ask for entries. */
  signals: ServerSignals;
  /** What this entry tells the agent on a box of itself. */
  presence: (agent: AgentAddress) => EntryPresence;
  /** The agents that the agent on a box should know. */
  agentList: (agent: AgentAddress) => AgentList;
  onStatus: (agent: AgentAddress, status: BoxStatus) => void;
  onEntries: (agent: AgentAddress, list: EntryList) => void;
  onHeard: (agent: AgentAddress, versions: readonly HeardVersion[]) => void;
  /** The agent is asked from now on which entries are connected to it; its whole list follows on this connection. */
  onAsked: (agent: AgentAddress, connection: ControlConnection) => void;
  /** The agent is no longer asked or connected. */
  onNotAsked: (agent: AgentAddress) => void;
}

const GATHER_MILLISECONDS = 15;
const REDIAL = { firstMilliseconds: 200, longestMilliseconds: 1_500 };

interface Link {
  agent: AgentAddress;
  stopped: AbortController;
  connection: ControlConnection | undefined;
  /** Whether the agent has asked this entry for the agents of its service. */
  wantsAgents: boolean;
  /** Whether the agent has been told to tell which entries are connected to it. */
  isAsked: boolean;
  /** What was last sent on the connection, without what only ages. */
  sentPresence: string;
  sentAgents: string;
  /** The list that {@link Link.sentAgents} was made from. */
  toldAgents: readonly AgentAddress[] | undefined;
}

/** Keeps one connection to every wanted agent. */
export class BoxLinks {
  private readonly _options: BoxLinksOptions;
  private readonly _links = new Map<string, Link>();
  private readonly _announcement = new CoalescedCall(
    () => GATHER_MILLISECONDS,
    () => {
      for (const link of this._links.values()) this._tell(link);
    },
  );

  constructor(options: BoxLinksOptions) {
    this._options = options;
    options.signals.on('change', (notices) => this._tellAsked({ type: 'server-notices', notices }));
  }

  /** Agents that are connected now. */
  get connected(): number {
    return [...this._links.values()].filter((link) => link.connection !== undefined).length;
  }

  /** Measures a round trip to the agents on these boxes. */
  probe(boxes: Iterable<string>): void {
    for (const box of boxes) this._links.get(box)?.connection?.probe();
  }

  /** How long a round trip to the agent on `box` takes at the least, in milliseconds; 0 while that is not measured. */
  delayMilliseconds(box: string): number {
    return this._links.get(box)?.connection?.delayMilliseconds ?? 0;
  }

  /** Keeps exactly these agents connected. */
  want(agents: readonly AgentAddress[]): void {
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
        isAsked: false,
        sentPresence: '',
        sentAgents: '',
        toldAgents: undefined,
      };
      this._links.set(agent.box, link);
      void this._keepConnected(link);
    }
  }

  /** Tells the agents what has changed, together with other changes of these milliseconds. */
  announce(): void {
    this._announcement.schedule();
  }

  /** Tells the agents what has changed. */
  announceNow(): void {
    this._announcement.flush();
  }

  close(): void {
    this._announcement.cancel();
    this.want([]);
  }

  private _tellAsked(message: Message): void {
    for (const { connection, isAsked } of this._links.values()) if (isAsked) connection?.send(message);
  }

  /** Sends what the agent has not been told yet. */
  private _tell(link: Link): void {
    const { connection, agent } = link;
    if (!connection) return;
    const presence = this._options.presence(agent);
    const text = presenceText(presence);
    if (text !== link.sentPresence) connection.send(presence);
    link.sentPresence = text;
    this._noteAsked(link, connection, presence.hearsEntries);
    if (link.wantsAgents) this._tellAgents(link, connection);
  }

  /** Hands on that the agent begins or ceases to be asked for entries, as it has been told on this connection. */
  private _noteAsked(link: Link, connection: ControlConnection, isAsked: boolean, reason?: string): void {
    const { agent } = link;
    if (link.isAsked === isAsked) return;
    link.isAsked = isAsked;
    if (isAsked) {
      const notices = this._options.signals.notices();
      if (notices.length > 0) connection.send({ type: 'server-notices', notices });
      this._options.log.state('agent.asked', { agent: agent.box });
      return this._options.onAsked(agent, connection);
    }
    const silent = Math.round(connection.silentMilliseconds);
    this._options.log.state('agent.not-asked', { agent: agent.box, reason, silent });
    this._options.onNotAsked(agent);
  }

  private _tellAgents(link: Link, connection: ControlConnection): void {
    const list = this._options.agentList(link.agent);
    if (list.agents === link.toldAgents) return;
    link.toldAgents = list.agents;
    const agents = JSON.stringify(list.agents);
    if (agents !== link.sentAgents) connection.send(list);
    link.sentAgents = agents;
  }

  private async _keepConnected(link: Link): Promise<void> {
    const backoff = new Backoff(REDIAL, this._options.random);
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

  /** Resolves when the connection has been lost. */
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
    // measured once while the link is idle: only a peer that has answered a probe is known to answer them
    connection.probe();
    link.wantsAgents = false;
    link.sentPresence = '';
    link.sentAgents = '';
    link.toldAgents = undefined;
    this._tell(link);
    const reason = await closed;
    link.connection = undefined;
    this._options.log.state('agent.lost', { agent: agent.box, reason });
    this._noteAsked(link, connection, false, reason);
  }

  private _onMessage(link: Link, message: Message): void {
    if (message.type === 'box-status') this._options.onStatus(link.agent, message);
    if (message.type === 'entry-list') this._options.onEntries(link.agent, message);
    if (message.type === 'versions-heard') this._options.onHeard(link.agent, message.versions);
    if (message.type === 'server-notices') this._options.signals.take(message.notices);
    if (message.type !== 'agent-list-query') return;
    link.wantsAgents = message.wanted;
    this._tell(link);
  }
}

/** All of a presence but the ages in it, which change without an event. */
function presenceText({ wanted, heard, ...rest }: EntryPresence): string {
  const versions = [...wanted, ...(heard ?? [])];
  return JSON.stringify([rest, versions.map(({ model, version }) => [model, version])]);
}
