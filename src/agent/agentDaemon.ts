/** Creates and connects the parts of an agent, the process that runs on a box with a backend server. */
import { randomUUID } from 'node:crypto';
import { ProcessDrain } from '../draining/processDrain.js';
import type { BackendServer } from '../engine/backendServer.js';
import { HttpEngine } from '../engine/httpEngine.js';
import { PlainService } from '../engine/plainService.js';
import { HttpOrigin } from '../external/origin.js';
import type { Origin } from '../external/origin.js';
import { ClientLimits } from '../limits/clientLimits.js';
import { httpToken } from '../protocol/authentication.js';
import type { ControlOptions } from '../protocol/controlConnection.js';
import { ControlConnection } from '../protocol/controlConnection.js';
import { ControlServer } from '../protocol/controlServer.js';
import type { ReportMessage } from '../protocol/reportMessages.js';
import { FairQueue } from '../requests/fairQueue.js';
import { Ledger } from '../requests/ledger.js';
import type { AgentSettings } from '../settings/agentSettings.js';
import { Logger } from '../telemetry/logger.js';
import { Metrics } from '../telemetry/metrics.js';
import { SystemClock } from '../utils/clock.js';
import { SeededRandom } from '../utils/random.js';
import { RateLimiter } from '../utils/rateLimiter.js';
import { pause } from '../utils/timers.js';
import { placementHash } from '../utils/hash.js';
import { AgentPeers } from '../weights/agentPeers.js';
import { ChunkStore } from '../weights/chunkStore.js';
import { PeerChunkClient } from '../weights/peerChunkClient.js';
import { LayeredOrigin } from '../weights/layeredOrigin.js';
import { UploadQueue } from '../weights/uploadQueue.js';
import { AgentHttpServer } from './agentHttpServer.js';
import { BackendForwarder } from './backendForwarder.js';
import { OrderHandler, isOrder } from './orderHandler.js';
import { Reporter } from './reporter.js';
import { RequestGate } from './requestGate.js';
import { ServiceHosts } from './serviceHosts.js';
import { SwarmMessageHandler } from '../weights/swarmMessageHandler.js';

/** Ports on which a daemon listens. */
export interface ListeningPorts {
  httpPort: number;
  controlPort: number;
}

/** Dependencies that a test can replace. */
export interface AgentParts {
  uploads: UploadQueue;
}

/** Upper bound on the time for which an isolated entry continues to send non-repeatable requests. */
const ISOLATED_ENTRY_MILLISECONDS = 15_000;
/** Enough to keep the incoming link busy while some of the fetches wait in a peer's upload queue. */
const MAXIMUM_CONCURRENT_FETCHES = 8;
const IMPORT_STEP_MILLISECONDS = 2_000;
const HEALTH_INTERVAL_MILLISECONDS = 1_000;
const DRAIN_POLL_MILLISECONDS = 20;
/** How long a stopping agent waits until other agents have taken over its slots of the ledger. */
const LEDGER_HANDOVER_TIMEOUT_MILLISECONDS = 3_000;
/** How long a stopping agent keeps answering after its last request, so that every entry learns that it is leaving. */
const SHUTDOWN_GRACE_MILLISECONDS = 300;

/** Part of the memory for clients that the answers kept with idempotency keys may take. */
const LEDGER_PART = 0.25;

/**
 * An agent. It keeps no state on disk, so each start of the process is a new incarnation.
 *
 * @example
 * const agent = new AgentDaemon(settings);
 * const { httpPort, controlPort } = await agent.start();
 * @since 0.1.0
 */
export class AgentDaemon {
  readonly incarnation = randomUUID();
  private readonly _settings: AgentSettings;
  private readonly _logger: Logger;
  private readonly _metrics = new Metrics();
  private readonly _store: ChunkStore;
  private readonly _limits: ClientLimits;
  private readonly _drain: ProcessDrain;
  private readonly _queue: FairQueue;
  private readonly _ledger: Ledger;
  private readonly _gate: RequestGate;
  private readonly _hosts: ServiceHosts;
  private readonly _uploads: UploadQueue;
  private readonly _peers: AgentPeers;
  private readonly _swarmMessages: SwarmMessageHandler;
  private readonly _orders: OrderHandler;
  private readonly _reporter: Reporter;
  private readonly _http: AgentHttpServer;
  private readonly _control: ControlServer;
  private readonly _backend: BackendServer;
  private _healthTimer: NodeJS.Timeout | undefined;
  private _backendUp = false;
  private _leaving = false;
  private _weightsBaseUrl = '';

  constructor(settings: AgentSettings, parts: Partial<AgentParts> = {}) {
    const clock = new SystemClock();
    const random = new SeededRandom(settings.seed + placementHash(settings.box));
    this._settings = settings;
    this._logger = new Logger('agent', { box: settings.box, dataCentre: settings.dataCentre });
    this._store = new ChunkStore(settings.stagingMemoryBytes);
    this._limits = new ClientLimits(settings, { log: this._logger });
    this._ledger = new Ledger({
      clock,
      keyLifetimeMilliseconds: settings.keyLifetimeMilliseconds,
      blindMilliseconds: settings.keyLifetimeMilliseconds + ISOLATED_ENTRY_MILLISECONDS,
      maximumKeys: settings.ledgerKeys,
      maximumAnswerBytes: this._reserveLedgerBytes(),
    });
    const { backendSlots: slots, waitingPerCustomer } = settings;
    const drain = (this._drain = new ProcessDrain(clock));
    this._queue = new FairQueue({ slots, waitingPerCustomer, clock, drain });
    this._uploads = parts.uploads ?? createUploads(settings);
    this._backend = createBackend(settings);
    this._swarmMessages = new SwarmMessageHandler(() =>
      this._hosts.versions().map((version) => version.exchange),
    );
    this._peers = new AgentPeers(controlOptions(settings), random, this._logger, this._swarmMessages);
    this._hosts = new ServiceHosts({
      backend: this._backend,
      exchange: {
        box: settings.box,
        store: this._store,
        peers: this._peers,
        client: new PeerChunkClient(httpToken(settings.sharedKey, settings.box)),
        origin: createOrigin(settings),
        uploads: this._uploads,
        bounds: {
          stallMilliseconds: settings.stallMilliseconds,
          incoming: new RateLimiter(settings.weightBytesPerSecond),
          fetchesAtOnce: MAXIMUM_CONCURRENT_FETCHES,
          importStepMilliseconds: IMPORT_STEP_MILLISECONDS,
        },
        clock,
        random,
        logger: this._logger,
      },
      random,
      logger: this._logger,
      weightsBaseUrl: () => this._weightsBaseUrl,
      onChange: () => this._reporter.scheduleReport(),
    });
    this._gate = new RequestGate(
      (customer, name) => this._hosts.find(customer, name),
      this._queue,
      this._ledger,
    );
    this._orders = new OrderHandler({
      incarnation: this.incarnation,
      hosts: this._hosts,
      ledger: this._ledger,
      logger: this._logger,
      onPlan: () => this._onPlan(),
      onLedger: () => this._reporter.scheduleReport(),
      isLeaving: () => this._leaving,
    });
    this._reporter = new Reporter(() => this._report());
    this._http = this._createHttp();
    this._control = new ControlServer(
      controlOptions(settings),
      (connection) => this._onConnection(connection),
      (reason) => this._logger.state('control.refused', { reason }),
    );
  }

  /** Starts listening. Throws when a port is taken. */
  async start(): Promise<ListeningPorts> {
    const { address } = this._settings;
    const httpPort = await this._http.listen(address, this._settings.httpPort);
    const controlPort = await this._control.listen(address, this._settings.controlPort);
    this._weightsBaseUrl = `http://${address}:${httpPort}`;
    await this._checkBackend();
    this._healthTimer = setInterval(() => void this._checkBackend(), HEALTH_INTERVAL_MILLISECONDS);
    this._logger.state('agent.started', { httpPort, controlPort, incarnation: this.incarnation });
    return { httpPort, controlPort };
  }

  /** Refuses new requests, waits for requests in flight and the handover of ledger slots, then closes. */
  async stop(): Promise<void> {
    this._leaving = true;
    this._drain.closeIn(this._settings.drainMilliseconds);
    this._gate.refuseNewRequests();
    for (const version of this._hosts.versions()) version.exchange.dropPendingOriginFetches();
    this._reporter.sendNow();
    this._logger.state('agent.leaving', { inFlight: this._queue.running, queued: this._queue.waiting });
    while (this._queue.running + this._queue.waiting > 0 && this._drain.closesInMilliseconds > 0)
      await pause(DRAIN_POLL_MILLISECONDS);
    const handoverDeadline = performance.now() + LEDGER_HANDOVER_TIMEOUT_MILLISECONDS;
    while (this._ledger.ownsSlots && performance.now() < handoverDeadline)
      await pause(DRAIN_POLL_MILLISECONDS);
    await pause(SHUTDOWN_GRACE_MILLISECONDS);
    this.close();
  }

  /** Closes without waiting for requests in flight. */
  close(): void {
    clearInterval(this._healthTimer);
    this._reporter.close();
    for (const version of this._hosts.versions()) version.exchange.stop();
    this._peers.close();
    this._control.close();
    this._http.close();
    this._logger.state('agent.stopped');
  }

  /** Sets memory of the clients aside for the answers that the ledger keeps; returns its size in bytes. */
  private _reserveLedgerBytes(): number {
    const { memory } = this._limits;
    const bytes = this._settings.ledgerAnswerBytes ?? Math.floor(memory.limitBytes * LEDGER_PART);
    memory.share().take(bytes);
    return bytes;
  }

  private _createHttp(): AgentHttpServer {
    this._metrics.gauge('control_bytes', () => ControlConnection.totalBytes);
    this._metrics.gauge('requests_running', () => this._queue.running);
    this._metrics.gauge('requests_waiting', () => this._queue.waiting);
    this._metrics.gauge('ledger_keys', () => this._ledger.size);
    this._metrics.gauge('ledger_answer_bytes', () => this._ledger.answerBytes);
    this._metrics.gauge('staged_bytes', () => this._store.usedBytes);
    this._metrics.gauge('uploaded_bytes', () => this._uploads.bytesSent);
    return new AgentHttpServer({
      limits: this._limits,
      box: this._settings.box,
      incarnation: this.incarnation,
      sharedKey: this._settings.sharedKey,
      gate: this._gate,
      queue: this._queue,
      forwarder: new BackendForwarder(
        this._settings.backendUrl,
        this._ledger,
        this._logger,
        () => this._leaving,
      ),
      uploads: this._uploads,
      metrics: this._metrics,
      versions: () => this._hosts.versions(),
      isReady: () => this._backendUp && !this._leaving,
    });
  }

  private _onConnection(connection: ControlConnection): void {
    if (connection.peer.role === 'agent') {
      this._peers.attach(connection);
      return;
    }
    connection.on('message', (message) => {
      if (message.type === 'subscribe') this._reporter.subscribe(connection);
      else if (isOrder(message)) void this._orders.handle(message, connection);
    });
    connection.start();
  }

  private _onPlan(): void {
    this._peers.setPeers(this._hosts.neighbours().map((neighbour) => neighbour.member));
    this._swarmMessages.replayEarlyJoins();
  }

  private async _checkBackend(): Promise<void> {
    const up = await this._backend.healthy();
    if (up === this._backendUp) return;
    this._backendUp = up;
    this._logger.state('backend.health', { up });
    this._reporter.scheduleReport();
  }

  private _report(): ReportMessage {
    const services = this._hosts.all().map((host) => host.report(this._ledger.hashOf(host.name)));
    return {
      type: 'report',
      box: this._settings.box,
      incarnation: this.incarnation,
      leaving: this._leaving,
      backendUp: this._backendUp,
      inFlight: this._queue.running,
      queued: this._queue.waiting,
      capacity: this._queue.slots,
      stagedBytes: this._store.usedBytes,
      services: services.filter((service) => service !== undefined),
    };
  }
}

function controlOptions(settings: AgentSettings): ControlOptions {
  const { sharedKey, box, dataCentre, peerTimeoutMilliseconds } = settings;
  return { key: sharedKey, identity: { role: 'agent', box, dataCentre }, peerTimeoutMilliseconds };
}

function createUploads(settings: AgentSettings): UploadQueue {
  return new UploadQueue(new RateLimiter(settings.weightBytesPerSecond), settings.stallMilliseconds);
}

function createBackend(settings: AgentSettings): BackendServer {
  return settings.backendKind === 'model'
    ? new HttpEngine(settings.backendUrl)
    : new PlainService(settings.backendUrl);
}

function createOrigin(settings: AgentSettings): Origin {
  const origin = new HttpOrigin(settings.originUrl);
  return settings.weightStoreUrl
    ? new LayeredOrigin(new HttpOrigin(settings.weightStoreUrl), origin)
    : origin;
}
