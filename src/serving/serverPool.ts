/** Keeps all backend servers listed by service discovery and selects one for each request. */
import { WaitingRequests } from '../admission/waitingRequests.js';
import { ObservedStarts } from '../backpressure/observedStarts.js';
import type { ServerSignals } from '../backpressure/serverSignals.js';
import type { ServerPermission } from '../locality/serverPermission.js';
import type { BoxStatus, ConfirmedLoad } from '../protocol/boxMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { hostOf } from '../utils/hostPort.js';
import type { Random } from '../utils/random.js';
import { BackendConnections } from './backendConnections.js';
import type { BackendServerRecord } from './backendServerRecord.js';
import type { Candidate } from './serverChoice.js';
import { canMeetObjective, chooseServer, meanFill } from './serverChoice.js';
import { eligibleServers } from './serverEligibility.js';
import type { IncarnationSource } from './serverIncarnation.js';
import { ServerIncarnation, UNKNOWN_START } from './serverIncarnation.js';
import type { ServerRequirements } from './serverRequirements.js';
import { serviceCost } from './serviceCost.js';
import type { ServiceDescription } from './servingConfiguration.js';
import { TrackedServer } from './trackedServer.js';

export interface ServerPoolOptions {
  dataCentre: string;
  clock: Clock;
  random: Random;
  log: EventLog;
  /** Backpressure signals from the answers of servers. */
  signals: ServerSignals;
  service: (name: string) => ServiceDescription | undefined;
  /** Where requests may run. */
  permission: ServerPermission;
  /** Number of entries that share the connections to each server. */
  entries: () => number;
  /** Number of these entries in this data centre. */
  entriesInDataCentre: () => number;
  /** Whether this entry may send to the server at `host`: it receives the server's load reports, or no entry does. */
  isRouted: (host: string) => boolean;
  /** Lower bound for the round trip to the box at `host`, in milliseconds; 0 while it is not measured. */
  linkDelay?: (host: string) => number;
}

/** Properties of a service discovery list besides its records. */
export interface ServerListState {
  /** Whether running servers may be missing from the list. */
  mayBeIncomplete?: boolean;
  /** Ids of listed servers with an invalid record, or with an address at which a later process listens. */
  unusable?: ReadonlySet<string>;
}

/** The selected server, or the reason why there is none. */
export type ServerSelection =
  | { kind: 'found'; server: TrackedServer }
  | { kind: 'none'; reason: 'no-server' | 'not-permitted' | 'all-busy' | 'reserved' | 'old-version' }
  /** All servers limit their requests; the first is expected to accept one after `waitMilliseconds`. */
  | { kind: 'none'; reason: 'at-limit'; waitMilliseconds: number };

/** Share of a server's connections that all entries together may use. */
const CONNECTION_SHARE = 0.8;
const CONNECT_MILLISECONDS = 700;
/** How long a server that is missing after an outage is kept: longer than it needs to renew its record. */
const KEEP_MISSING_MILLISECONDS = 1_700;
const DEFAULT_CONNECTIONS = 4;
const NO_SERVERS: ReadonlySet<string> = new Set();
/** Maximum number of entries assumed to send to one server at the same time; more would choose different servers. */
const MAX_SHARERS = 3;

export class ServerPool {
  /** Requests that wait for a slot of a server. */
  readonly waiting = new WaitingRequests();
  private readonly _options: ServerPoolOptions;
  /** The current incarnation of each server, by server id. */
  private readonly _servers = new Map<string, TrackedServer>();
  private readonly _incarnations = new Map<string, ServerIncarnation>();
  private readonly _starts = new ObservedStarts();
  private _byHost = new Map<string, TrackedServer[]>();
  /** Hosts of agents of earlier builds. */
  private readonly _olderAgents = new Set<string>();
  /** Ids of servers that are missing from a possibly incomplete list. */
  private readonly _missing = new Set<string>();

  constructor(options: ServerPoolOptions) {
    this._options = options;
  }

  /**
   * Applies the complete list of service discovery. Servers that are not in it are removed, unless the list
   * `mayBeIncomplete`: after an outage, running servers that could not renew their records are missing. These are
   * kept for a while and used only if there is no other server. `unusable` servers are removed immediately.
   */
  update(
    records: readonly BackendServerRecord[],
    { mayBeIncomplete = false, unusable = NO_SERVERS }: ServerListState = {},
  ): void {
    const present = new Set(records.map(({ id }) => id));
    for (const record of records) this._updateOne(record);
    this._starts.endList();
    for (const [id, server] of this._servers) {
      if (present.has(id)) this._missing.delete(id);
      else if (unusable.has(id)) this._remove(id, server);
      else if (mayBeIncomplete) this._keepMissing(id);
      else if (!this._missing.has(id)) this._remove(id, server);
    }
    this._indexByHost();
  }

  all(): TrackedServer[] {
    return [...this._servers.values()];
  }

  /** What is remembered of the weights of the servers at `host`: see {@link TrackedServer.confirmedLoad}. */
  confirmedLoads(host: string): ConfirmedLoad[] {
    return (this._byHost.get(host) ?? []).flatMap(({ confirmedLoad }) => confirmedLoad ?? []);
  }

  /** Applies a status message of the agent at `host`. */
  noteStatus(host: string, status: BoxStatus): void {
    if (status.version > 0 && status.revision === undefined) this._logOlderAgent(host);
    for (const { record } of this._byHost.get(host) ?? []) this._noteStatusOf(record, status);
    this.waiting.wake();
  }

  /**
   * Selects one of the servers that report their load here, or of all if none of these can serve the request. Only
   * servers where the request may run are considered; there is no other place where a server is chosen for a request.
   */
  find(requirements: ServerRequirements): ServerSelection {
    const { service, permittedRegions, tried } = requirements;
    const staying = this.all().filter(({ record, isLeaving }) => record.service === service && !isLeaving);
    const permitted = staying.filter(({ record }) =>
      this._options.permission.permits(record.dataCentre, permittedRegions),
    );
    if (staying.length > 0 && permitted.length === 0) return { kind: 'none', reason: 'not-permitted' };
    const present = permitted.filter(({ record }) => !tried.has(record.id));
    const routed = present.filter(({ host }) => this._options.isRouted(host));
    const found = this._findAmong(routed, requirements);
    const othersMayServe =
      found.kind === 'none' && found.reason !== 'all-busy' && found.reason !== 'reserved';
    return othersMayServe && routed.length < present.length ? this._findAmong(present, requirements) : found;
  }

  private _findAmong(present: readonly TrackedServer[], requirements: ServerRequirements): ServerSelection {
    if (present.length === 0) return { kind: 'none', reason: 'no-server' };
    const eligible = eligibleServers(present, requirements);
    if (eligible.length === 0) return { kind: 'none', reason: 'old-version' };
    const accepting = eligible.filter(({ backpressure }) => backpressure.waitMilliseconds === 0);
    if (accepting.length === 0)
      return { kind: 'none', reason: 'at-limit', waitMilliseconds: shortestWait(eligible) };
    const open = accepting.filter((server) => server.connections.available);
    const candidates = open.map((server) => this._candidate(server, requirements));
    const { service, isContinuation } = requirements;
    const cost = serviceCost(this._options.service(service)?.engine, isContinuation);
    const { objectiveMilliseconds, slotLimits } = requirements;
    const limits = slotLimits?.({ pressure: meanFill(candidates, cost), entries: this._options.entries() });
    const chosen = chooseServer(candidates, cost, objectiveMilliseconds, this._options.random, limits);
    if (chosen) return { kind: 'found', server: this._servers.get(chosen.id)! };
    const hasSlot = candidates.some((candidate) => canMeetObjective(candidate, cost, objectiveMilliseconds));
    return { kind: 'none', reason: hasSlot ? 'reserved' : 'all-busy' };
  }

  /** Closes all connections that are not in use. */
  close(): void {
    for (const server of this._servers.values()) server.connections.close();
  }

  private _noteStatusOf(record: BackendServerRecord, status: BoxStatus): void {
    const match = this._incarnations.get(record.id)!.noteStart('agent', status.startedAt ?? UNKNOWN_START);
    if (match === 'former') return this._logLateReport(record.id, 'agent');
    if (match === 'another') {
      this._replaceRestarted(record, 'agent');
      this._indexByHost();
    }
    this._servers.get(record.id)!.noteStatus(status);
  }

  /** An agent of an earlier build does not confirm what its server took: its version counts all the same. */
  private _logOlderAgent(host: string): void {
    if (this._olderAgents.has(host)) return;
    this._olderAgents.add(host);
    this._options.log.state('agent.not-confirming', { host });
  }

  /** Logs a report about an ended incarnation, which does not apply to the current one. */
  private _logLateReport(server: string, source: IncarnationSource): void {
    this._options.log.decision('server.late-word', { server, source });
  }

  /** Replaces a restarted server: drops the state of its former incarnation and the connections to it. */
  private _replaceRestarted(record: BackendServerRecord, source: IncarnationSource): void {
    const { id, service } = record;
    const startedAt = this._incarnations.get(id)!.startedAt;
    this._options.log.state('server.started-again', { server: id, service, source, startedAt });
    const former = this._servers.get(id)!;
    former.connections.resetOpenedBefore(former.knownAliveAt);
    this._options.signals.forgetServer(id);
    this._servers.set(id, this._track(record));
  }

  private _indexByHost(): void {
    this._byHost = new Map();
    for (const server of this._servers.values()) {
      const atHost = this._byHost.get(server.host) ?? [];
      atHost.push(server);
      this._byHost.set(server.host, atHost);
    }
  }

  private _keepMissing(id: string): void {
    if (this._missing.has(id)) return;
    this._options.log.state('server.missing', { server: id });
    this._missing.add(id);
    const timer = setTimeout(() => {
      const server = this._servers.get(id);
      if (this._missing.delete(id) && server) this._remove(id, server);
    }, KEEP_MISSING_MILLISECONDS);
    timer.unref();
  }

  private _remove(id: string, server: TrackedServer): void {
    this._servers.delete(id);
    this._incarnations.delete(id);
    this._missing.delete(id);
    server.connections.close();
    this._options.log.state('server.gone', { server: id, service: server.record.service });
  }

  private _updateOne(record: BackendServerRecord): void {
    const { log } = this._options;
    const known = this._servers.get(record.id);
    if (!known) return this._add(record);
    // Records are cached, so an identical object is unchanged; applying it again could restore versions that are lost.
    if (known.record === record) return;
    const match = this._incarnations.get(record.id)!.noteStart('discovery', record.startedAt);
    const hasMoved = known.record.address !== record.address;
    if (match === 'another' || hasMoved) this._replaceRestarted(record, 'discovery');
    const server = this._servers.get(record.id)!;
    if (record.draining && !known.record.draining) {
      log.state('server.draining', { server: record.id, service: record.service });
      server.connections.close();
    }
    if (match !== 'former') return server.update(record);
    this._logLateReport(record.id, 'discovery');
    server.updateLocation(record);
  }

  private _add(record: BackendServerRecord): void {
    const { id, service, address } = record;
    this._options.log.state('server.found', { server: id, service, address });
    const incarnation = new ServerIncarnation();
    incarnation.noteStart('discovery', record.startedAt);
    this._incarnations.set(id, incarnation);
    const server = this._track(record);
    server.update(record);
    this._servers.set(id, server);
  }

  private _track(record: BackendServerRecord): TrackedServer {
    const limit = (): number => {
      const maximum = this._options.service(record.service)?.maximumConnections ?? DEFAULT_CONNECTIONS;
      return Math.max(1, Math.floor((maximum * CONNECTION_SHARE) / Math.max(1, this._options.entries())));
    };
    const { address } = record;
    const { clock, dataCentre, entriesInDataCentre, entries } = this._options;
    const connectMilliseconds = CONNECT_MILLISECONDS;
    const connections = new BackendConnections({ address, connectMilliseconds, clock, limit });
    const sharers = (): number =>
      record.dataCentre === dataCentre ? entriesInDataCentre() : entries() - entriesInDataCentre();
    const linkDelay = (): number => this._options.linkDelay?.(hostOf(address)) ?? 0;
    const { startedAt } = this._incarnations.get(record.id)!;
    const { id, service } = record;
    const backpressure = this._options.signals.backpressureOf(id, record.dataCentre, startedAt, service);
    const warmUp = this._options.service(service)?.cold?.startMilliseconds ?? 0;
    if (this._starts.note(id, startedAt)) backpressure.noteCold('start', clock.now() + warmUp);
    return new TrackedServer(
      record,
      connections,
      backpressure,
      clock,
      () => Math.min(MAX_SHARERS, Math.max(1, sharers())),
      linkDelay,
      () => this._options.isRouted(hostOf(address)),
    );
  }

  private _candidate(server: TrackedServer, requirements: ServerRequirements): Candidate {
    const { record, health, load } = server;
    return {
      id: record.id,
      sameDataCentre: record.dataCentre === this._options.dataCentre,
      slots: Math.max(1, record.slots),
      load: load.estimate(this._options.clock.now()),
      pendingPrompts: server.pendingPrompts,
      failureRate: health.failureRate,
      firstByteMilliseconds: health.firstByteMilliseconds,
      slowLink: server.slowLink,
      outdated:
        requirements.model !== '' && server.version(requirements.model) < requirements.preferredVersion,
      preparing: server.preparing,
      avoided: health.avoided || server.unresponsive || this._missing.has(record.id),
      failing: health.failing(load.outstanding),
    };
  }
}

function shortestWait(servers: readonly TrackedServer[]): number {
  return Math.min(...servers.map(({ backpressure }) => backpressure.waitMilliseconds));
}
