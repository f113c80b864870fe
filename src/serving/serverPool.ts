/** All backend servers that service discovery knows, and the choice among them. */
import type { ServerSignals } from '../backpressure/serverSignals.js';
import type { BoxStatus } from '../protocol/boxMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { hostOf } from '../utils/hostPort.js';
import type { Random } from '../utils/random.js';
import { BackendConnections } from './backendConnections.js';
import type { BackendServerRecord } from './backendServerRecord.js';
import type { Candidate, ServiceCost } from './serverChoice.js';
import { chooseServer } from './serverChoice.js';
import { eligibleServers } from './serverEligibility.js';
import type { IncarnationSource } from './serverIncarnation.js';
import { ServerIncarnation, UNKNOWN_START } from './serverIncarnation.js';
import type { ServerRequirements } from './serverRequirements.js';
import type { ServiceDescription } from './servingConfiguration.js';
import { TrackedServer } from './trackedServer.js';

/** What the pool works with. */
export interface ServerPoolOptions {
  dataCentre: string;
  clock: Clock;
  random: Random;
  log: EventLog;
  /** What servers ask for in their answers. */
  signals: ServerSignals;
  service: (name: string) => ServiceDescription | undefined;
  /** How many entries share the connections to each server. */
  entries: () => number;
  /** How many of these stand in this data centre. */
  entriesInDataCentre: () => number;
  /** Whether this entry hears of the load of the backend server at `host`, or nobody does. */
  isRouted: (host: string) => boolean;
  /** How long a round trip to the box at `host` takes at the least, in milliseconds; 0 while that is not measured. */
  linkDelay?: (host: string) => number;
}

/** What is known of a list of service discovery beside what stands in it. */
export interface ServerListState {
  /** Whether servers may be missing that run. */
  mayBeIncomplete?: boolean;
  /** Servers that are listed and not to be used: nobody can read their entries, or a later life listens at their address. */
  unusable?: ReadonlySet<string>;
}

/** A chosen server, or how the service stands when there is none. */
export type ServerSelection =
  | { kind: 'found'; server: TrackedServer }
  | { kind: 'none'; reason: 'no-server' | 'all-busy' | 'old-version' }
  /** Servers have asked for fewer requests; the first takes one after so long, as far as this entry can tell. */
  | { kind: 'none'; reason: 'at-limit'; waitMilliseconds: number };

/** Part of a server's connections that all entries together may use. */
const CONNECTION_SHARE = 0.8;
const CONNECT_MILLISECONDS = 700;
/** How long a server is kept that is missing after an outage: longer than it needs to renew its entry. */
const DOUBT_MILLISECONDS = 1_700;
const UNKNOWN_SLOTS = 4;
const NONE: ReadonlySet<string> = new Set();
/** Plain servers slow down when they are nearly full. */
const PLAIN_COST: ServiceCost = {
  serviceMilliseconds: 60,
  readMilliseconds: 0,
  typicalFirstMilliseconds: 100,
  maxFill: 3,
  batchSlowdown: 0.25,
  tieMilliseconds: 0,
};
/** Prompts that a server reads, and steps that it takes, until the first event of a stream. */
const USUAL_FIRST_READS = 3;
const USUAL_FIRST_STEPS = 12;
/** Entries that are taken to send to a server at the same moment: more would send to different ones. */
const MOST_SHARERS = 3;
/** Servers are alike that differ by less than a prompt to read: another entry may have sent it one already. */
const TIE_PROMPTS = 0.8;
/** Requests beyond the batch wait for one to end: several times the objective, and with them all that come after. */
const FULLEST_ENGINE = 1;
/** Streams that are handed over or broken off have been admitted, and the first keep their server from its next version. */
const FULLEST_FOR_CARRIED_OVER = 1.1;

export class ServerPool {
  private readonly _options: ServerPoolOptions;
  /** The present life of each server, by its id. */
  private readonly _servers = new Map<string, TrackedServer>();
  private readonly _lives = new Map<string, ServerIncarnation>();
  private _byHost = new Map<string, TrackedServer[]>();
  /** Servers that are missing from a list that is not trusted. */
  private readonly _missing = new Set<string>();

  constructor(options: ServerPoolOptions) {
    this._options = options;
  }

  /**
   * Takes the whole list of service discovery. Servers that left it get nothing new, unless the list is `doubtful`:
   * after an outage, servers that could not renew their entries are missing though they run. Those are kept for a
   * while, for when there is no other. Those that are `unusable` are gone at once.
   */
  update(
    records: readonly BackendServerRecord[],
    { mayBeIncomplete: doubtful = false, unusable = NONE }: ServerListState = {},
  ): void {
    const present = new Set(records.map(({ id }) => id));
    for (const record of records) this._updateOne(record);
    for (const [id, server] of this._servers) {
      if (present.has(id)) this._missing.delete(id);
      else if (unusable.has(id)) this._remove(id, server);
      else if (doubtful) this._doubt(id);
      else if (!this._missing.has(id)) this._remove(id, server);
    }
    this._indexByHost();
  }

  all(): TrackedServer[] {
    return [...this._servers.values()];
  }

  /** Takes the status of the agent at `host`. */
  noteStatus(host: string, status: BoxStatus): void {
    for (const { record } of this._byHost.get(host) ?? []) this._noteStatusOf(record, status);
  }

  /** Chooses a server: one of those whose load is told here, unless none of them can serve the request at all. */
  find(need: ServerRequirements): ServerSelection {
    const present = this.all().filter(
      (server) =>
        server.record.service === need.service && !server.isLeaving && !need.tried.has(server.record.id),
    );
    const routed = present.filter(({ host }) => this._options.isRouted(host));
    const found = this._findAmong(routed, need);
    const othersMayServe = found.kind === 'none' && found.reason !== 'all-busy';
    return othersMayServe && routed.length < present.length ? this._findAmong(present, need) : found;
  }

  private _findAmong(present: readonly TrackedServer[], need: ServerRequirements): ServerSelection {
    if (present.length === 0) return { kind: 'none', reason: 'no-server' };
    const able = eligibleServers(present, need);
    if (able.length === 0) return { kind: 'none', reason: 'old-version' };
    const accepting = able.filter(({ backpressure }) => backpressure.waitMilliseconds === 0);
    if (accepting.length === 0)
      return { kind: 'none', reason: 'at-limit', waitMilliseconds: shortestWait(able) };
    const open = accepting.filter((server) => server.connections.available);
    const candidates = open.map((server) => this._candidate(server, need));
    const cost = this._cost(need);
    const chosen = chooseServer(candidates, cost, need.objectiveMilliseconds, this._options.random);
    if (!chosen) return { kind: 'none', reason: 'all-busy' };
    return { kind: 'found', server: this._servers.get(chosen.id)! };
  }

  /** Closes all connections that are not in use. */
  close(): void {
    for (const server of this._servers.values()) server.connections.close();
  }

  private _noteStatusOf(record: BackendServerRecord, status: BoxStatus): void {
    const judgement = this._lives.get(record.id)!.noteStart('agent', status.startedAt ?? UNKNOWN_START);
    if (judgement === 'former') return this._noteLate(record.id, 'agent');
    if (judgement === 'another') {
      this._startAnew(record, 'agent');
      this._indexByHost();
    }
    this._servers.get(record.id)!.noteStatus(status);
  }

  /** What came of a life that has ended says nothing of the present one. */
  private _noteLate(server: string, source: IncarnationSource): void {
    this._options.log.decision('server.late-word', { server, source });
  }

  /** The server has started again: nothing that was learned of its former life holds, nor do connections to it. */
  private _startAnew(record: BackendServerRecord, source: IncarnationSource): void {
    const { id, service } = record;
    const startedAt = this._lives.get(id)!.startedAt;
    this._options.log.state('server.started-again', { server: id, service, source, startedAt });
    const former = this._servers.get(id)!;
    former.connections.endOpenedBefore(former.knownAliveAt);
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

  private _doubt(id: string): void {
    if (this._missing.has(id)) return;
    this._options.log.state('server.missing', { server: id });
    this._missing.add(id);
    const timer = setTimeout(() => {
      const server = this._servers.get(id);
      if (this._missing.delete(id) && server) this._remove(id, server);
    }, DOUBT_MILLISECONDS);
    timer.unref();
  }

  private _remove(id: string, server: TrackedServer): void {
    this._servers.delete(id);
    this._lives.delete(id);
    this._missing.delete(id);
    server.connections.close();
    this._options.log.state('server.gone', { server: id, service: server.record.service });
  }

  private _updateOne(record: BackendServerRecord): void {
    const { log } = this._options;
    const known = this._servers.get(record.id);
    if (!known) return this._add(record);
    // each record is decoded once: the same one says nothing new, and an older one may name versions that are lost
    if (known.record === record) return;
    const judgement = this._lives.get(record.id)!.noteStart('discovery', record.startedAt);
    const hasMoved = known.record.address !== record.address;
    if (judgement === 'another' || hasMoved) this._startAnew(record, 'discovery');
    const server = this._servers.get(record.id)!;
    if (record.draining && !known.record.draining) {
      log.state('server.draining', { server: record.id, service: record.service });
      server.connections.close();
    }
    if (judgement !== 'former') return server.update(record);
    this._noteLate(record.id, 'discovery');
    server.updateLocation(record);
  }

  private _add(record: BackendServerRecord): void {
    const { id, service, address } = record;
    this._options.log.state('server.found', { server: id, service, address });
    const life = new ServerIncarnation();
    life.noteStart('discovery', record.startedAt);
    this._lives.set(id, life);
    const server = this._track(record);
    server.update(record);
    this._servers.set(id, server);
  }

  private _track(record: BackendServerRecord): TrackedServer {
    const limit = (): number => {
      const maximum = this._options.service(record.service)?.maximumConnections ?? UNKNOWN_SLOTS;
      return Math.max(1, Math.floor((maximum * CONNECTION_SHARE) / Math.max(1, this._options.entries())));
    };
    const { address } = record;
    const { clock, dataCentre, entriesInDataCentre: entriesNear, entries } = this._options;
    const connectMilliseconds = CONNECT_MILLISECONDS;
    const connections = new BackendConnections({ address, connectMilliseconds, clock, limit });
    const sharers = (): number =>
      record.dataCentre === dataCentre ? entriesNear() : entries() - entriesNear();
    const linkDelay = (): number => this._options.linkDelay?.(hostOf(address)) ?? 0;
    return new TrackedServer(
      record,
      connections,
      this._options.signals.backpressureOf(
        record.id,
        record.dataCentre,
        this._lives.get(record.id)!.startedAt,
      ),
      clock,
      () => Math.min(MOST_SHARERS, Math.max(1, sharers())),
      linkDelay,
    );
  }

  private _candidate(server: TrackedServer, need: ServerRequirements): Candidate {
    const { record, health, load } = server;
    return {
      id: record.id,
      sameDataCentre: record.dataCentre === this._options.dataCentre,
      slots: Math.max(1, record.slots),
      load: load.estimate(this._options.clock.now()),
      pendingPrompts: server.pendingPrompts,
      failureRate: health.failureRate,
      firstAnswerMilliseconds: health.firstAnswerMilliseconds,
      slowLink: server.slowLink,
      outdated: need.model !== '' && server.version(need.model) < need.preferredVersion,
      preparing: server.preparing,
      avoided: health.avoided || server.suspicious || this._missing.has(record.id),
      failing: health.failing(load.outstanding),
    };
  }

  private _cost({ service, isContinuation: isCarriedOver }: ServerRequirements): ServiceCost {
    const engine = this._options.service(service)?.engine;
    if (!engine) return PLAIN_COST;
    const reading = engine.usualPromptTokens / (engine.readTokensPerSecond / 1000);
    const writing = engine.usualAnswerTokens * engine.stepMilliseconds;
    const usualFirstMilliseconds = USUAL_FIRST_READS * reading + USUAL_FIRST_STEPS * engine.stepMilliseconds;
    return {
      serviceMilliseconds: reading + writing,
      readMilliseconds: reading,
      typicalFirstMilliseconds: usualFirstMilliseconds,
      maxFill: isCarriedOver ? FULLEST_FOR_CARRIED_OVER : FULLEST_ENGINE,
      batchSlowdown: 0,
      tieMilliseconds: reading * TIE_PROMPTS,
    };
  }
}

function shortestWait(servers: readonly TrackedServer[]): number {
  return Math.min(...servers.map(({ backpressure }) => backpressure.waitMilliseconds));
}
