/** Control connections from an entry to the agents beside backend servers. */
import type { AgentAddress, BoxStatus, EntryList, EntryPresence } from '../protocol/boxMessages.js';
import type { ControlOptions } from '../protocol/controlConnection.js';
import { ControlConnection } from '../protocol/controlConnection.js';
import type { EventLog } from '../telemetry/eventLog.js';
import { Backoff } from '../utils/backoff.js';
import type { Random } from '../utils/random.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';

/** What the links work with. */
export interface BoxLinksOptions {
  control: ControlOptions;
  random: Random;
  log: EventLog;
  /** What this entry tells the agent on a box. */
  presence: (agent: AgentAddress) => EntryPresence;
  onStatus: (agent: AgentAddress, status: BoxStatus) => void;
  onEntries: (agent: AgentAddress, list: EntryList) => void;
  onDown: (agent: AgentAddress) => void;
}

const REDIAL = { firstMilliseconds: 200, longestMilliseconds: 1_500 };

interface Link {
  agent: AgentAddress;
  stopped: AbortController;
  connection: ControlConnection | undefined;
}

/** Keeps one connection to every wanted agent. */
export class BoxLinks {
  private readonly _options: BoxLinksOptions;
  private readonly _links = new Map<string, Link>();

  constructor(options: BoxLinksOptions) {
    this._options = options;
  }

  /** Agents that are connected now. */
  get connected(): number {
    return [...this._links.values()].filter((link) => link.connection !== undefined).length;
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
      const link: Link = { agent, stopped: new AbortController(), connection: undefined };
      this._links.set(agent.box, link);
      void this._keepConnected(link);
    }
  }

  /** Tells every agent how this entry stands. */
  announce(): void {
    for (const { agent, connection } of this._links.values()) connection?.send(this._options.presence(agent));
  }

  close(): void {
    this.want([]);
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
    const port = Number(agent.address.slice(agent.address.lastIndexOf(':') + 1));
    const host = agent.address.slice(0, agent.address.lastIndexOf(':'));
    const connection = await ControlConnection.connect(host, port, this._options.control);
    if (link.stopped.signal.aborted) return connection.close('no longer wanted');
    link.connection = connection;
    this._options.log.state('agent.connected', { agent: agent.box });
    const closed = new Promise<string>((resolve) => connection.once('close', resolve));
    connection.on('message', (message) => {
      if (message.type === 'box-status') this._options.onStatus(agent, message);
      if (message.type === 'entry-list') this._options.onEntries(agent, message);
    });
    connection.start();
    connection.send(this._options.presence(agent));
    const reason = await closed;
    link.connection = undefined;
    this._options.log.state('agent.lost', { agent: agent.box, reason });
    this._options.onDown(agent);
  }
}
