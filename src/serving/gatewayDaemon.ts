/** An entry that connects directly to backend servers; creates its components and runs them. */
import { createAdmissionPolicy } from '../admission/createAdmissionPolicy.js';
import type { ServerSignals } from '../backpressure/serverSignals.js';
import type { EntryAddress } from '../protocol/boxMessages.js';
import type { ControlOptions } from '../protocol/controlConnection.js';
import { ControlServer } from '../protocol/controlServer.js';
import { ClientLimits } from '../limits/clientLimits.js';
import type { GatewaySettings } from '../settings/gatewaySettings.js';
import type { EventLog } from '../telemetry/eventLog.js';
import { CountedStore } from '../records/countedStore.js';
import { SystemClock } from '../utils/clock.js';
import { placementHash } from '../utils/hash.js';
import type { Random } from '../utils/random.js';
import { SeededRandom } from '../utils/random.js';
import { hostOf, splitAddress } from '../utils/hostPort.js';
import { AgentAnnouncements, boxOfHost } from './agentAnnouncements.js';
import { BoxLinks } from './boxLinks.js';
import { CallerServer } from './callerServer.js';
import { ConfigurationHolder } from './configurationHolder.js';
import { DirectoryServer } from './directoryServer.js';
import { EntryDirectory, entryAddressOf } from './entryDirectory.js';
import { EntryDrain } from './entryDrain.js';
import { EntryLocality } from './entryLocality.js';
import { createEntrySignals } from './entrySignals.js';
import { RecordApplier } from './recordApplier.js';
import type { ForwardingContext } from './forwardingContext.js';
import type { GatewayParts } from './gatewayParts.js';
import { addGatewayGauges } from './gatewayGauges.js';
import { LinkProber } from './linkProber.js';
import { VersionUpdates } from './versionUpdates.js';
import { PlatformFollowers } from './platformFollowers.js';
import { retryLimitOf } from './retryAllowance.js';
import { RequestAdmission } from './requestAdmission.js';
import { RequestHandler } from './requestHandler.js';
import { ServerPool } from './serverPool.js';
import { UnframedServices } from './unframedServices.js';
import { MetricsServer } from '../telemetry/metricsServer.js';
import { ServingMetrics } from '../telemetry/servingMetrics.js';
import { VersionGate } from './versionGate.js';

export class GatewayDaemon {
  private readonly _settings: GatewaySettings;
  private readonly _parts: GatewayParts;
  private readonly _clock = new SystemClock();
  private readonly _log: EventLog;
  private readonly _metrics = new ServingMetrics();
  private readonly _configuration: ConfigurationHolder;
  private readonly _locality: EntryLocality;
  private readonly _entries: EntryDirectory;
  private readonly _signals: ServerSignals;
  private readonly _pool: ServerPool;
  private readonly _gate: VersionGate;
  private readonly _versionUpdates: VersionUpdates;
  private readonly _links: BoxLinks;
  private readonly _prober: LinkProber;
  private readonly _announcements: AgentAnnouncements;
  private readonly _followers: PlatformFollowers;
  private readonly _control: ControlServer;
  private readonly _admission: RequestAdmission;
  private readonly _forward: ForwardingContext;
  private readonly _limits: ClientLimits;
  private readonly _callers: CallerServer;
  private readonly _directory: DirectoryServer;
  private readonly _metricsServer: MetricsServer;
  private readonly _own: EntryAddress;
  private readonly _drain: EntryDrain;

  constructor(settings: GatewaySettings, parts: GatewayParts) {
    const clock = this._clock;
    const random = new SeededRandom(settings.seed + placementHash(settings.box));
    this._settings = settings;
    this._parts = parts;
    this._log = parts.log;
    this._limits = new ClientLimits(settings, { log: parts.log, hasSideAddresses: true });
    this._own = entryAddressOf(settings);
    this._configuration = new ConfigurationHolder(parts.log);
    this._locality = new EntryLocality(settings, this._configuration);
    const { _own: own, _configuration: configuration, _log: log } = this;
    const { peerTimeoutMilliseconds } = settings;
    const entries = (this._entries = new EntryDirectory({ own, clock, log, peerTimeoutMilliseconds }));
    this._drain = this._createDrain();
    this._signals = createEntrySignals({ own, clock, log, entries, configuration });
    this._pool = this._createPool(random);
    this._gate = new VersionGate(
      { switchMilliseconds: settings.versionMilliseconds, contactMilliseconds: settings.contactMilliseconds },
      clock,
    );
    this._links = this._createLinks(random);
    this._followers = this._createFollowers(random);
    this._versionUpdates = new VersionUpdates(
      this._followers,
      parts.platform.reader,
      parts.platform.unreadable,
      this._gate,
      parts.log,
    );
    this._prober = this._createProber();
    this._control = new ControlServer(
      this._controlOptions(),
      (connection) => this._followers.relay.attach(connection),
      (reason) => this._log.decision('control.refused', { reason }),
    );
    this._announcements = new AgentAnnouncements({
      own: this._own,
      agentPort: settings.agentPort,
      configuration: this._configuration,
      pool: this._pool,
      gate: this._gate,
      revision: () => this._followers.servers.revision,
    });
    this._admission = this._createAdmission(random);
    this._forward = {
      names: parts.names,
      pool: this._pool,
      admission: this._admission.policy,
      gate: this._gate,
      suspicions: this._followers.suspicions,
      drain: this._drain,
      unframed: new UnframedServices(clock),
      clock,
      random,
      log: parts.log,
      metrics: this._metrics,
    };
    const handler = new RequestHandler(this._forward, this._admission);
    this._callers = new CallerServer(this._limits, (...request) => void handler.handle(...request));
    this._metricsServer = new MetricsServer(this._metrics, parts.paths.metrics, this._limits);
    this._directory = new DirectoryServer({
      limits: this._limits,
      paths: parts.paths,
      keepSeconds: settings.directorySeconds,
      entries: this._entries,
      mayNameTo: (caller, host) => this._locality.mayNameTo(caller, host),
      isReady: () =>
        !this._own.leaving && this._configuration.index !== undefined && this._locality.knowsEvacuations,
    });
  }

  /** Starts listening and following the platform. Throws when a port is taken. */
  async start(): Promise<void> {
    const { callerAddress, readyAddress, directoryAddress, metricsAddress, controlAddress } = this._settings;
    addGatewayGauges({
      metrics: this._metrics,
      running: () => this._drain.running,
      waiting: () => this._pool.waiting.count,
      callers: this._callers,
      limits: this._limits,
      configuration: this._configuration,
      links: this._links,
      entries: this._entries,
      followers: this._followers,
      locality: this._locality,
      signals: this._signals,
      unreadable: this._parts.platform.unreadable,
      log: this._log,
    });
    await this._control.listen(...splitAddress(controlAddress));
    this._followRecords();
    await this._callers.listen(...splitAddress(callerAddress));
    await this._directory.listen(new Set([readyAddress, directoryAddress]));
    await this._metricsServer.listen(...splitAddress(metricsAddress));
    this._log.state('gateway.started', { address: callerAddress });
  }

  /** Leaves the directory, waits for requests in flight, then closes. */
  async stop(): Promise<void> {
    if (this._own.leaving) return;
    this._entries.leave();
    const drained = this._drain.drain(async () => await this._callers.stopListening());
    const { running, closesInMilliseconds } = this._drain;
    this._log.state('gateway.leaving', {
      running,
      connections: this._callers.connections,
      closesInMilliseconds: Math.round(closesInMilliseconds),
    });
    this._links.announceNow();
    this._pool.waiting.close();
    await drained;
    this.close();
    this._log.state('gateway.stopped', { cut: this._drain.cutRequests });
    await this._log.flush();
  }

  /** Only logs that a reload was asked for: settings change with a restart, so no request in flight is interrupted. */
  reload(): void {
    this._log.state('gateway.reload', { applied: 'nothing that holds while the process runs' });
  }

  /** Closes immediately. */
  close(): void {
    this._prober.stop();
    this._followers.stop();
    this._control.close();
    this._signals.close();
    this._links.close();
    this._pool.close();
    this._callers.close();
    this._directory.close();
    this._metricsServer.close();
  }

  private _controlOptions(): ControlOptions {
    const { sharedKey, box, dataCentre, peerTimeoutMilliseconds } = this._settings;
    return { key: sharedKey, identity: { role: 'entry', box, dataCentre }, peerTimeoutMilliseconds };
  }

  private _createDrain(): EntryDrain {
    return new EntryDrain({
      clock: this._clock,
      log: this._log,
      metrics: this._metrics,
      drainMilliseconds: this._settings.drainMilliseconds,
      engine: (service) => this._configuration.index?.service(service)?.engine,
      isOnlyEntry: () => this._entries.isOnlyEntry,
    });
  }

  private _createPool(random: Random): ServerPool {
    return new ServerPool({
      dataCentre: this._settings.dataCentre,
      clock: this._clock,
      random,
      log: this._log,
      signals: this._signals,
      service: (name) => this._configuration.index?.service(name),
      permission: this._locality.permission,
      entries: () => this._entries.count(),
      entriesInDataCentre: () => this._entries.countInOwnDataCentre(),
      isRouted: (host) => this._announcements.isRouted(host),
      linkDelay: (host) => this._links.delayMilliseconds(boxOfHost(host)),
    });
  }

  private _createLinks(random: Random): BoxLinks {
    return new BoxLinks({
      control: this._controlOptions(),
      random,
      log: this._log,
      signals: this._signals,
      presence: (agent) => this._announcements.presence(agent),
      agentList: (agent) => this._announcements.agentList(agent),
      onStatus: (agent, status) => this._pool.noteStatus(hostOf(agent.address), status),
      onEntries: (agent, list) => this._entries.applyList(agent.box, list),
      onHeard: (agent, versions) => this._versionUpdates.onHeard(agent, versions) && this._links.announce(),
      onSubscribed: (agent, connection) => this._entries.subscribe(agent.box, connection),
      onUnsubscribed: (agent) => this._entries.unsubscribe(agent.box),
    });
  }

  private _createProber(): LinkProber {
    const { _pool: pool, _gate: gate, _links: links, _log: log } = this;
    return new LinkProber({ pool, gate, links, log });
  }

  private _createFollowers(random: Random): PlatformFollowers {
    const { box, controlAddress, seeds, serverHeartbeatMilliseconds, evacuateMilliseconds } = this._settings;
    const store = new CountedStore(this._parts.platform.store, (call, kind) =>
      this._metrics.count(`store_calls_total{call="${call}",kind="${kind}"}`),
    );
    return new PlatformFollowers({
      platform: { ...this._parts.platform, store },
      own: { box, address: controlAddress },
      seeds,
      ranking: () => this._entries.recordSources(),
      control: this._controlOptions(),
      heartbeatMilliseconds: serverHeartbeatMilliseconds,
      followsEvacuations: evacuateMilliseconds !== undefined,
      clock: this._clock,
      random,
      log: this._log,
    });
  }

  private _createAdmission(random: Random): RequestAdmission {
    return new RequestAdmission({
      policy: createAdmissionPolicy(this._settings.admission, random),
      names: this._parts.names,
      configuration: this._configuration,
      clock: this._clock,
      random,
      log: this._log,
      retryLimit: retryLimitOf(this._settings),
      isFirstStart: this._settings.firstStart,
      entries: () => this._entries.count(),
      drain: this._drain,
      knowsEvacuations: () => this._locality.knowsEvacuations,
      isCurrent: () => this._followers.isCurrent,
    });
  }

  private _followRecords(): void {
    const { versions } = this._followers;
    this._locality.follow(this._followers, this._pool, this._clock, this._log);
    this._prober.start();
    new RecordApplier({
      platform: this._parts.platform,
      followers: this._followers,
      configuration: this._configuration,
      pool: this._pool,
      onConfiguration: ({ limits }) => {
        this._callers.applyLimits(limits);
        this._updateAgents();
      },
      onServers: () => this._updateAgents(),
    });
    versions.on('change', (change) => this._versionUpdates.onChange(change) && this._links.announce());
    this._followers.start();
  }

  private _updateAgents(): void {
    this._announcements.refresh();
    this._links.setAgents(this._announcements.selection().agents);
    this._links.announce();
  }
}
