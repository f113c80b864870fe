/** Builds the messages to agents: the presence of this entry, the wanted versions, and the agents of a service. */
import type { AgentAddress, AgentList, EntryAddress, EntryPresence } from '../protocol/boxMessages.js';
import { hostOf } from '../utils/hostPort.js';
import type { AgentSelection } from './agentSelection.js';
import { selectAgents } from './agentSelection.js';
import type { ConfigurationHolder } from './configurationHolder.js';
import type { ServerPool } from './serverPool.js';
import type { ServiceDescription } from './servingConfiguration.js';
import type { VersionGate } from './versionGate.js';

export interface AgentAnnouncementsOptions {
  own: EntryAddress;
  /** Control port of all agents. */
  agentPort: number;
  configuration: ConfigurationHolder;
  pool: ServerPool;
  gate: VersionGate;
  /** Revision of service discovery. */
  revision: () => number;
}

export class AgentAnnouncements {
  private readonly _options: AgentAnnouncementsOptions;
  /** Agents by service, cached until {@link AgentAnnouncements.refresh}. */
  private readonly _agents = new Map<string, AgentAddress[]>();
  private _serviceByBox: Map<string, string> | undefined;
  private _selection: AgentSelection | undefined;

  constructor(options: AgentAnnouncementsOptions) {
    this._options = options;
  }

  /** Clears the caches after a change of servers or services. */
  refresh(): void {
    this._agents.clear();
    this._serviceByBox = undefined;
    this._selection = undefined;
  }

  /** The agents that this entry stays connected to. */
  selection(): AgentSelection {
    this._selection ??= selectAgents(
      this._options.own,
      [...this._services()].map((service) => this._agentsOf(service.name)),
    );
    return this._selection;
  }

  /** Whether this entry may send requests to the server at `host`: its box has no agent, or a selected one. */
  isRouted(host: string): boolean {
    const box = boxOfHost(host);
    return !this._serviceIndex().has(box) || this.selection().routed.has(box);
  }

  presence(agent: AgentAddress): EntryPresence {
    const { own, gate } = this._options;
    const { routed, directory } = this.selection();
    const services = [...this._services()];
    const origin = services.find((service) => service.origin !== undefined)?.origin?.address ?? '';
    const service = this._serviceOf(agent.box);
    const models = services.find(({ name }) => name === service)?.engine?.models ?? [];
    return {
      type: 'entry-presence',
      entry: own,
      wanted: models.map((model) => gate.wanted(model)),
      heard: models.flatMap((model) => gate.heard(model)),
      confirmed: this._options.pool.confirmedLoads(hostOf(agent.address)),
      origin,
      hearsStatus: routed.has(agent.box),
      hearsEntries: directory.has(agent.box),
    };
  }

  /** All agents of the service that `agent` belongs to. */
  agentList(agent: AgentAddress): AgentList {
    const agents = this._agentsOf(this._serviceOf(agent.box));
    return { type: 'agent-list', revision: this._options.revision(), agents };
  }

  private _services(): Iterable<ServiceDescription> {
    return this._options.configuration.index?.services() ?? [];
  }

  /** The service of the agent on `box`; '' when there is none. */
  private _serviceOf(box: string): string {
    return this._serviceIndex().get(box) ?? '';
  }

  private _serviceIndex(): Map<string, string> {
    this._serviceByBox ??= this._indexServices();
    return this._serviceByBox;
  }

  private _indexServices(): Map<string, string> {
    const found = new Map<string, string>();
    for (const { name } of this._services()) {
      for (const { box } of this._agentsOf(name)) found.set(box, name);
    }
    return found;
  }

  /** Only services with a model engine have agents, one on each box with a backend server. */
  private _agentsOf(service: string): AgentAddress[] {
    let agents = this._agents.get(service);
    if (!agents) {
      agents = this._findAgents(service);
      this._agents.set(service, agents);
    }
    return agents;
  }

  private _findAgents(service: string): AgentAddress[] {
    const { pool, configuration, agentPort } = this._options;
    if (!configuration.index?.service(service)?.engine) return [];
    const agents = new Map<string, AgentAddress>();
    for (const { record, host } of pool.all()) {
      if (record.service !== service) continue;
      const box = boxOfHost(host);
      agents.set(box, { box, dataCentre: record.dataCentre, address: `${host}:${agentPort}` });
    }
    return [...agents.values()];
  }
}

/** Box name for an IPv4 address, the same in all processes. */
export function boxOfHost(host: string): string {
  return host.replaceAll('.', '-');
}
