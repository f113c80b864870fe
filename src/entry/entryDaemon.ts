/** Creates and connects the parts of an entry, the process to which callers and operators send their requests. */
import { randomUUID } from 'node:crypto';
import { ApiFollower } from '../configuration/apiFollower.js';
import { ChangeHandler } from '../configuration/changeHandler.js';
import { ParsedRecords } from '../configuration/parsedRecords.js';
import { configurationKey } from '../configuration/recordKeys.js';
import { Replica } from '../configuration/replica.js';
import { ConditionalWriter } from '../configuration/conditionalWriter.js';
import { ProcessDrain } from '../draining/processDrain.js';
import { ClientLimits } from '../limits/clientLimits.js';
import { AgentLinks } from '../membership/agentLinks.js';
import { BoxListFollower } from '../membership/boxListFollower.js';
import { isWatcher, replicationPeers } from '../membership/replicationPeers.js';
import { Replicator } from '../membership/replicator.js';
import type { Box } from '../external/boxList.js';
import { HttpBoxList } from '../external/boxList.js';
import { HttpObjectApi } from '../external/httpObjectApi.js';
import { PacedObjectApi } from '../external/pacedObjectApi.js';
import { HttpOrigin } from '../external/origin.js';
import { httpToken } from '../protocol/authentication.js';
import type { ControlOptions } from '../protocol/controlConnection.js';
import { ControlConnection } from '../protocol/controlConnection.js';
import { ControlServer } from '../protocol/controlServer.js';
import { AgentClient } from '../requests/agentClient.js';
import { RequestRouter } from '../requests/requestRouter.js';
import { RetryBudget } from '../requests/retryBudget.js';
import { CoordinatorPool } from '../rollout/coordinatorPool.js';
import { parseLedger } from '../rollout/ledgerAssigner.js';
import { parseRollout } from '../rollout/rolloutRecord.js';
import { Specifications } from '../rollout/specifications.js';
import type { EntryEndpoint } from '../routing/entryOrder.js';
import { orderEntries } from '../routing/entryOrder.js';
import { RouteTable } from '../routing/routeTable.js';
import { agentSubset } from '../routing/agentSubset.js';
import type { EntrySettings } from '../settings/entrySettings.js';
import { Logger } from '../telemetry/logger.js';
import { Metrics } from '../telemetry/metrics.js';
import { SystemClock } from '../utils/clock.js';
import { placementHash } from '../utils/hash.js';
import { SeededRandom } from '../utils/random.js';
import { pause, waitAtMost } from '../utils/timers.js';
import { CallerApi } from './callerApi.js';
import { CustomerDirectory } from './customerDirectory.js';
import { EntryHttpServer } from './entryHttpServer.js';
import { OperatorApi } from './operatorApi.js';
import { RolloutStatusReader } from './rolloutStatusReader.js';

/** Ports on which an entry listens. */
export interface EntryPorts {
  httpPort: number;
  controlPort: number;
}

/** Interval at which an entry updates its links to agents, which depend on the leases that it holds. */
const LINK_UPDATE_INTERVAL_MILLISECONDS = 1_000;
const DRAIN_POLL_MILLISECONDS = 20;
/** How long a stopping entry still accepts requests, so that callers and other entries learn that it is leaving. */
const SHUTDOWN_GRACE_MILLISECONDS = 500;

/**
 * An entry. Entries are interchangeable: any of them may hold leases and so coordinate rollouts.
 *
 * @example
 * const entry = new EntryDaemon(settings);
 * const { httpPort, controlPort } = await entry.start();
 * @since 0.1.0
 */
export class EntryDaemon {
  private readonly _settings: EntrySettings;
  private readonly _clock = new SystemClock();
  private readonly _random: SeededRandom;
  private readonly _logger: Logger;
  private readonly _metrics = new Metrics();
  private readonly _replica = new Replica();
  private readonly _rollouts = new ParsedRecords(this._replica, parseRollout);
  private readonly _ledgers = new ParsedRecords(this._replica, parseLedger);
  private readonly _specifications = new Specifications(this._replica);
  private readonly _boxes: BoxListFollower;
  private readonly _follower: ApiFollower;
  private readonly _replicator: Replicator;
  private readonly _links: AgentLinks;
  private readonly _routes: RouteTable;
  private readonly _coordinatorPool: CoordinatorPool;
  private readonly _drain: ProcessDrain;
  private readonly _http: EntryHttpServer;
  private readonly _control: ControlServer;
  private _linkTimer: NodeJS.Timeout | undefined;
  private _leaving = false;

  constructor(settings: EntrySettings) {
    this._settings = settings;
    this._random = new SeededRandom(settings.seed + placementHash(settings.box));
    this._logger = new Logger('entry', { box: settings.box, dataCentre: settings.dataCentre });
    const api = new HttpObjectApi(settings.objectApiUrl);
    const writer = new ConditionalWriter(api, this._replica);
    const services = { clock: this._clock, random: this._random, logger: this._logger };
    this._boxes = new BoxListFollower(
      new HttpBoxList(settings.boxListUrl),
      settings.boxListMilliseconds,
      this._logger,
    );
    this._follower = new ApiFollower(api, this._replica, this._clock, this._random, this._logger, () =>
      this._isWatcher(),
    );
    const control = controlOptions(settings);
    const entries = (): Box[] => this._boxes.withRole('entry');
    this._replicator = new Replicator({ control, replica: this._replica, entries, ...services });
    this._links = new AgentLinks({ control, ...services });
    this._routes = new RouteTable(this._links, settings.dataCentre, this._clock, (name) =>
      this._activatedRollout(name),
    );
    this._coordinatorPool = new CoordinatorPool({
      ...services,
      replica: this._replica,
      rollouts: this._rollouts,
      ledgers: this._ledgers,
      writer: new ConditionalWriter(new PacedObjectApi(api), this._replica),
      leaseWriter: writer,
      specifications: this._specifications,
      boxes: this._boxes,
      links: this._links,
      origin: new HttpOrigin(settings.originUrl),
      holder: `${settings.box}/${randomUUID()}`,
      box: settings.box,
      leaseMilliseconds: settings.leaseMilliseconds,
      entries: () => this._usableEntries(),
      isLeaving: () => this._leaving,
    });
    this._drain = new ProcessDrain(this._clock);
    this._http = this._createHttp(writer);
    this._metrics.gauge('control_bytes', () => ControlConnection.totalBytes);
    this._metrics.gauge('entry_peers', () => this._replicator.peerCount);
    this._metrics.gauge('agent_links_live', () => this._links.all().filter((link) => link.live).length);
    this._metrics.gauge('highest_revision', () => this._replica.highestRevision);
    this._control = new ControlServer(
      control,
      (connection) => this._onConnection(connection),
      (reason) => this._logger.state('control.refused', { reason }),
    );
    this._boxes.on('change', () => this._onBoxListChange());
  }

  /** Starts listening. Throws when a port is taken. */
  async start(): Promise<EntryPorts> {
    const { address } = this._settings;
    const httpPort = await this._http.listen(address, this._settings.httpPort);
    const controlPort = await this._control.listen(address, this._settings.controlPort);
    this._linkTimer = setInterval(() => this._updateLinks(), LINK_UPDATE_INTERVAL_MILLISECONDS);
    void this._boxes.run();
    void this._follower.run();
    this._logger.state('entry.started', { httpPort, controlPort });
    return { httpPort, controlPort };
  }

  /** Announces the stop to other entries, releases leases, waits for requests in flight, then closes. */
  async stop(): Promise<void> {
    this._leaving = true;
    this._drain.closeIn(SHUTDOWN_GRACE_MILLISECONDS + this._settings.drainMilliseconds);
    this._replicator.announceLeaving();
    this._http.disableKeepAlive();
    this._logger.state('entry.leaving', { inFlight: this._http.inFlight });
    await waitAtMost(this._coordinatorPool.stop(), this._drain.closesInMilliseconds);
    await pause(SHUTDOWN_GRACE_MILLISECONDS);
    await this._untilIdle();
    this._http.close();
    // Requests may have arrived on open connections since the last check.
    await this._untilIdle();
    this.close();
  }

  /** Closes without waiting for requests in flight. */
  close(): void {
    clearInterval(this._linkTimer);
    this._follower.stop();
    this._boxes.stop();
    this._replicator.close();
    this._links.close();
    this._control.close();
    this._http.close();
    this._logger.state('entry.stopped');
  }

  private async _untilIdle(): Promise<void> {
    while (this._http.inFlight > 0 && this._drain.closesInMilliseconds > 0)
      await pause(DRAIN_POLL_MILLISECONDS);
  }

  private _createHttp(writer: ConditionalWriter): EntryHttpServer {
    const { _replica: replica, _specifications: specifications, _routes: routes, _settings: settings } = this;
    const common = {
      clock: this._clock,
      random: this._random,
      metrics: this._metrics,
      drain: this._drain,
    };
    const router = new RequestRouter({
      ...common,
      routes,
      client: new AgentClient(
        httpToken(settings.sharedKey, settings.box),
        settings.requestTimeoutMilliseconds,
      ),
      ledgers: this._ledgers,
      retries: new RetryBudget(this._clock),
      sharedKey: settings.sharedKey,
      logger: this._logger,
      isIsolated: () => this._isIsolated(),
    });
    const callers = new CallerApi({
      ...common,
      customers: new CustomerDirectory(replica),
      specifications,
      router,
      routes,
      ledgers: this._ledgers,
      sharedKey: settings.sharedKey,
      entriesKeepSeconds: settings.entriesKeepSeconds,
      callerStallMilliseconds: settings.callerStallMilliseconds,
      entriesFor: (dataCentre, callerKey) => this._entriesFor(dataCentre, callerKey),
      dataCentre: settings.dataCentre,
    });
    const statusReader = new RolloutStatusReader({
      box: settings.box,
      replica,
      specifications,
      boxes: this._boxes,
      links: this._links,
      replicator: this._replicator,
    });
    const changes = new ChangeHandler(replica, writer, this._replicator);
    const operators = new OperatorApi({
      operatorKey: settings.operatorKey,
      replica,
      changes,
      specifications,
      statusReader,
    });
    return new EntryHttpServer({
      limits: new ClientLimits(settings, { log: this._logger }),
      callers,
      operators,
      metrics: this._metrics,
      notReadyReason: () => this._notReadyReason(),
    });
  }

  /**
   * Why this entry isn't ready to serve, or ''. It needs the configuration, which comes from the object API, or from
   * another entry during an outage of the API.
   */
  private _notReadyReason(): string {
    if (!this._boxes.synchronised) return 'the box list has not been read yet';
    if (!this._follower.synchronised && this._replica.size === 0) return 'no configuration has been read yet';
    return '';
  }

  private _onConnection(connection: ControlConnection): void {
    if (connection.peer.role === 'entry') this._replicator.attach(connection);
    else connection.close('entries connect to agents, not the reverse');
  }

  private _onBoxListChange(): void {
    const entries = this._boxes.withRole('entry');
    const self = this._boxes.get(this._settings.box);
    if (self) this._replicator.setPeers(replicationPeers(self, entries));
    this._updateLinks();
  }

  /** Links to the agents of this entry's subset, and to those of the configurations that it coordinates. */
  private _updateLinks(): void {
    const agents = this._boxes.withRole('agent');
    const names = agents.map((agent) => agent.box);
    const entries = this._boxes.withRole('entry').map((entry) => entry.box);
    const chosen = new Set(agentSubset(this._settings.box, entries, names, this._settings.agentsPerEntry));
    const coordinated = this._coordinatorPool.coordinatedBoxes();
    this._links.setBoxes(agents.filter((agent) => chosen.has(agent.box) || coordinated.has(agent.box)));
  }

  private _isWatcher(): boolean {
    const self = this._boxes.get(this._settings.box);
    return !self || isWatcher(self, this._boxes.withRole('entry'));
  }

  private _activatedRollout(name: { customer: string; configuration: string }): string | undefined {
    const record = this._rollouts.get(configurationKey('rollout', name));
    return record && record.phase !== 'staging' ? record.rollout : undefined;
  }

  /** Entries to which callers can be referred, and which can coordinate rollouts. */
  private _usableEntries(): Box[] {
    return this._boxes.withRole('entry').filter((entry) => {
      if (entry.box === this._settings.box) return !this._leaving && !this._isIsolated();
      return (
        entry.state === 'live' &&
        this._replicator.isConnected(entry.box) &&
        !this._replicator.isLeaving(entry.box)
      );
    });
  }

  private _entriesFor(dataCentre: string, callerKey: string): EntryEndpoint[] {
    return orderEntries(this._usableEntries(), dataCentre, callerKey);
  }

  /** Whether this entry has reached neither the object API nor an entry of another data centre for too long. */
  private _isIsolated(): boolean {
    const { isolatedMilliseconds, dataCentre } = this._settings;
    if (this._follower.millisecondsSinceAnswer < isolatedMilliseconds) return false;
    const hasOtherDataCentres = this._boxes
      .withRole('entry')
      .some((entry) => entry.dataCentre !== dataCentre);
    return hasOtherDataCentres && this._replicator.millisecondsSinceOtherDataCentre > isolatedMilliseconds;
  }
}

function controlOptions(settings: EntrySettings): ControlOptions {
  const { sharedKey, box, dataCentre, peerTimeoutMilliseconds } = settings;
  return { key: sharedKey, identity: { role: 'entry', box, dataCentre }, peerTimeoutMilliseconds };
}
