/** What this entry tells the agents beside backend servers: itself, the wanted versions, and who their peers are. */
import type { AgentAddress, AgentList, EntryAddress, EntryPresence } from '../protocol/boxMessages.js';
import { hostOf } from '../utils/hostPort.js';
import { isAmongFirst } from '../utils/rendezvous.js';
import type { ConfigurationHolder } from './configurationHolder.js';
import type { EntryDirectory } from './entryDirectory.js';
import type { ServerPool } from './serverPool.js';
import type { ServiceDescription } from './servingConfiguration.js';
import type { VersionGate } from './versionGate.js';

/** What the announcements are made from. */
export interface AgentAnnouncementsOptions {
  own: EntryAddress;
  /** Control port of agents. */
  agentPort: number;
  configuration: ConfigurationHolder;
  entries: EntryDirectory;
  pool: ServerPool;
  gate: VersionGate;
  /** Revision of service discovery. */
  revision: () => number;
}

/** Entries that tell an agent who its peers are: any of them may be lost, and more would only repeat it. */
const LISTING_ENTRIES = 3;

export class AgentAnnouncements {
  private readonly _options: AgentAnnouncementsOptions;
  /** Agents by service; the same array until {@link AgentAnnouncements.refresh}. */
  private readonly _agents = new Map<string, AgentAddress[]>();
  /** Whether this entry is one of the few that tell an agent, for the entries that are live now. */
  private readonly _lists = new Map<string, boolean>();
  private _listsAreFor: readonly EntryAddress[] = [];

  constructor(options: AgentAnnouncementsOptions) {
    this._options = options;
  }

  /** Servers or services have changed. */
  refresh(): void {
    this._agents.clear();
  }

  /** Agents of all services that have a model engine. */
  all(): AgentAddress[] {
    const services = [...this._services()].filter((service) => service.engine !== undefined);
    return services.flatMap((service) => this._agentsOf(service.name));
  }

  presence(agent: AgentAddress): EntryPresence {
    const { own, pool, gate } = this._options;
    const services = [...this._services()];
    const origin = services.find((service) => service.origin !== undefined)?.origin?.address ?? '';
    const service = pool.serviceAt(hostOf(agent.address));
    const models = services.find(({ name }) => name === service)?.engine?.models ?? [];
    return { type: 'entry-presence', entry: own, wanted: models.map((model) => gate.wanted(model)), origin };
  }

  /** A few entries, the same ones as all others work out, tell an agent who its peers are. */
  agentList(agent: AgentAddress): AgentList | undefined {
    if (!this._listsFor(agent.box)) return undefined;
    const { pool, revision } = this._options;
    const service = pool.serviceAt(hostOf(agent.address));
    return { type: 'agent-list', revision: revision(), agents: this._agentsOf(service) };
  }

  /** Whether this entry is one of the few that tell the agent on `box`. */
  private _listsFor(box: string): boolean {
    const { entries, own } = this._options;
    const live = entries.live();
    if (live !== this._listsAreFor) this._lists.clear();
    this._listsAreFor = live;
    let lists = this._lists.get(box);
    if (lists === undefined) {
      lists = isAmongFirst(LISTING_ENTRIES, own.box, box, live);
      this._lists.set(box, lists);
    }
    return lists;
  }

  private _services(): Iterable<ServiceDescription> {
    return this._options.configuration.index?.services() ?? [];
  }

  /** Agents stand beside the backend servers of services that have a model engine. */
  private _agentsOf(service: string): AgentAddress[] {
    let agents = this._agents.get(service);
    if (!agents) {
      agents = this._find(service);
      this._agents.set(service, agents);
    }
    return agents;
  }

  private _find(service: string): AgentAddress[] {
    const { pool, configuration, agentPort } = this._options;
    if (!configuration.index?.service(service)?.engine) return [];
    const agents = new Map<string, AgentAddress>();
    for (const { record, host } of pool.all()) {
      if (record.service !== service) continue;
      const box = boxOfHost(host);
      agents.set(box, { box, hall: record.hall, address: `${host}:${agentPort}` });
    }
    return [...agents.values()];
  }
}

/** The name that all processes give the box at an IPv4 address. */
export function boxOfHost(host: string): string {
  return host.replaceAll('.', '-');
}
