/** The agent of a box, which loads versions into its backend server. Creates and connects all components. */
import type { Origin } from '../external/origin.js';
import type {
  AgentAddress,
  AgentList,
  BoxStatus,
  EntryPresence,
  SwitchState,
} from '../protocol/boxMessages.js';
import type { ControlConnection } from '../protocol/controlConnection.js';
import { ControlServer } from '../protocol/controlServer.js';
import type { Message } from '../protocol/message.js';
import type { Member } from '../protocol/rolloutMessages.js';
import type { StagingSettings } from '../settings/stagingSettings.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Logger } from '../telemetry/logger.js';
import { ClientLimits } from '../limits/clientLimits.js';
import { MetricsServer } from '../telemetry/metricsServer.js';
import { SystemClock } from '../utils/clock.js';
import { placementHash } from '../utils/hash.js';
import { hostOf } from '../utils/hostPort.js';
import type { Random } from '../utils/random.js';
import { SeededRandom } from '../utils/random.js';
import { RateLimiter } from '../utils/rateLimiter.js';
import { AgentPeers } from '../weights/agentPeers.js';
import { UploadQueue } from '../weights/uploadQueue.js';
import { controlOptions } from './agentControl.js';
import { boxStatus } from './boxStatus.js';
import { ChunkServer } from './chunkServer.js';
import type { ConfirmationStore } from './confirmationMemory.js';
import { ConfirmationMemory } from './confirmationMemory.js';
import { ConnectedEntries } from './connectedEntries.js';
import { STALL_MILLISECONDS, createStages } from './createStages.js';
import { HeardVersions } from './heardVersions.js';
import type { LocalBackend } from './localBackend.js';
import { sendRate } from './weightRates.js';
import { PeerMessages } from './peerMessages.js';
import type { StageQueue } from './stageQueue.js';
import { StagedChunks } from './stagedChunks.js';
import { StagingArea } from './stagingArea.js';
import { stagingMetrics } from './stagingMetrics.js';
import { StatusSender } from './statusSender.js';
import { SwitchStateBroadcaster } from './switchStateBroadcaster.js';
import { connectedPeers, switchGroup } from './switchGroup.js';
import type { SwitchPeer } from './switchTurn.js';
import { UploadPriorities } from './uploadPriorities.js';
import { VersionReconciler } from './versionReconciler.js';
import { WatchedOrigin } from './watchedOrigin.js';

/** What an agent needs besides its settings. */
export interface StagingDependencies {
  backend: LocalBackend;
  /** Where the confirmed load of the box is kept. */
  confirmations: ConfirmationStore;
  /** Returns the models of which the platform lists an announced version; rejects if the list cannot be read. */
  announcedModels: () => Promise<readonly string[]>;
  /** Creates a client of the origin at an address (host:port). */
  originAt: (address: string) => Origin;
  log: EventLog;
  exchangeLogger: Logger;
}

/** Bytes that an upload writes at a time: few, so that an event of a stream waits some tens of milliseconds at most. */
const BLOCK_BYTES = 8 * 1024;
const METRICS_PATH = '/metrics';
const STATUS_INTERVAL_MILLISECONDS = 250;

export class StagingDaemon {
  private readonly _settings: StagingSettings;
  private readonly _deps: StagingDependencies;
  private readonly _clock = new SystemClock();
  private readonly _log: EventLog;
  private readonly _peers: AgentPeers;
  private readonly _peerMessages: PeerMessages;
  private readonly _stagedChunks: StagedChunks;
  private readonly _stagingArea: StagingArea;
  private readonly _stages: StageQueue;
  private readonly _reconciler: VersionReconciler;
  private readonly _memory: ConfirmationMemory;
  private readonly _control: ControlServer;
  private readonly _chunkServer: ChunkServer;
  private readonly _metricsServer: MetricsServer;
  private readonly _statusSender: StatusSender;
  private readonly _entries: ConnectedEntries;
  private readonly _heardVersions = new HeardVersions(this._clock);
  private readonly _switchStates = new SwitchStateBroadcaster({
    state: () => this._switchState(),
    send: (boxes, state) => this._peers.broadcast(boxes, state),
  });
  /** All boxes of the service, including this one. */
  private _members: Member[] = [];
  /** The switch group: the boxes that take turns at switching, including this one. */
  private _switchMembers: readonly Member[] = [];
  private _origin: WatchedOrigin | undefined;
  private _originAddress = '';
  private _agentsRevision = 0;
  private _statusTimer: NodeJS.Timeout | undefined;

  constructor(settings: StagingSettings, deps: StagingDependencies) {
    const random = new SeededRandom(settings.seed + placementHash(settings.box));
    this._settings = settings;
    this._deps = deps;
    this._log = deps.log;
    this._entries = new ConnectedEntries(settings.dataCentre, deps.log, this._clock);
    this._statusSender = new StatusSender({
      clock: this._clock,
      build: () => this._status(),
      send: (status, audience) => this._entries.broadcastStatus(status, audience),
      listeners: () => this._entries.statusListeners,
    });
    this._peerMessages = new PeerMessages(
      () => this._stages.stages.map((stage) => stage.exchange),
      this._clock,
      (box) => this._peers.send(box, this._switchState()),
    );
    this._peers = new AgentPeers(controlOptions(settings), random, deps.exchangeLogger, this._peerMessages);
    const uploads = new UploadQueue(new RateLimiter(sendRate(settings)), STALL_MILLISECONDS, BLOCK_BYTES);
    this._stagedChunks = new StagedChunks({
      backend: deps.backend,
      models: deps.announcedModels,
      clock: this._clock,
      log: deps.log,
    });
    this._stagingArea = new StagingArea({ backend: deps.backend, clock: this._clock, log: deps.log });
    this._stages = this._createStages(random, uploads);
    this._memory = new ConfirmationMemory({
      store: deps.confirmations,
      random,
      log: deps.log,
      onRecalled: (load) => this._reconciler.noteConfirmed(load),
    });
    this._reconciler = this._createReconciler();
    const priorities = new UploadPriorities(settings.dataCentre, () => this._members);
    const limits = new ClientLimits(settings, { log: deps.log, hasSideAddresses: true });
    this._chunkServer = new ChunkServer({
      limits,
      sharedKey: settings.sharedKey,
      uploads,
      chunk: (rollout, chunk) => this._stages.findByRollout(rollout)?.chunk(chunk),
      manifest: (rollout) => this._stages.findByRollout(rollout)?.index.manifest,
      priority: (box, rollout) => priorities.priorityFor(box, rollout),
    });
    const metrics = stagingMetrics({
      stages: this._stages,
      reconciler: this._reconciler,
      uploads,
      log: deps.log,
      entries: () => this._entries.count,
      originLostFor: () => this._origin?.lostFor ?? 0,
    });
    this._metricsServer = new MetricsServer(metrics, METRICS_PATH, limits);
    this._control = new ControlServer(
      controlOptions(settings),
      (connection) => this._onConnection(connection),
      (reason) => this._log.decision('control.refused', { reason }),
    );
  }

  /** Starts listening. Throws if a port is in use. */
  async start(): Promise<void> {
    const { address, controlPort, chunkPort } = this._settings;
    await this._chunkServer.listen(address, chunkPort);
    await this._control.listen(address, controlPort);
    await this._metricsServer.listen(address, this._settings.metricsPort);
    this._statusTimer = setInterval(() => this._statusSender.onInterval(), STATUS_INTERVAL_MILLISECONDS);
    this._stagedChunks.start();
    this._reconciler.start();
    this._log.state('agent.started', { address, controlPort, chunkPort });
  }

  /** Logs the request. Settings are read once at the start, so a reload changes and interrupts nothing. */
  reload(): void {
    this._log.state('agent.reload', { applied: 'nothing that holds while the process runs' });
  }

  /** Closes without draining: a restarted agent takes over the staged chunks. */
  async stop(): Promise<void> {
    clearInterval(this._statusTimer);
    this._entries.stop();
    this._reconciler.stop();
    this._memory.stop();
    this._stages.close();
    this._peers.close();
    this._control.close();
    this._chunkServer.close();
    this._metricsServer.close();
    this._log.state('agent.stopped');
    await this._log.flush();
  }

  private _createStages(random: Random, uploads: UploadQueue): StageQueue {
    return createStages({
      settings: this._settings,
      stagingArea: this._stagingArea,
      staged: this._stagedChunks,
      peers: this._peers,
      uploads,
      clock: this._clock,
      random,
      log: this._deps.log,
      exchangeLogger: this._deps.exchangeLogger,
      members: () => this._members,
      origin: () => this._origin,
      onOpened: () => this._peerMessages.replay(),
    });
  }

  private _createReconciler(): VersionReconciler {
    const { _settings: settings, _deps: deps } = this;
    return new VersionReconciler({
      box: settings.box,
      backend: deps.backend,
      stagingArea: this._stagingArea,
      stages: this._stages,
      clock: this._clock,
      log: deps.log,
      versionMilliseconds: settings.versionMilliseconds,
      members: () => this._switchMembers,
      peers: (version) => this._switchPeers(version),
      onChange: () => this._onStateChange(),
      onPaused: (milliseconds) => this._peerMessages.onPaused(milliseconds),
      onConfirmed: (load) => this._memory.remember(load),
      onUnconfirmed: () => this._memory.recall(),
    });
  }

  private _onConnection(connection: ControlConnection): void {
    if (connection.peer.role === 'agent') return this._peers.attach(connection);
    connection.on('message', (message) => this._onEntryMessage(connection, message));
    connection.once('close', (reason) => this._entries.remove(connection, reason));
    connection.start();
  }

  private _onEntryMessage(connection: ControlConnection, message: Message): void {
    if (message.type === 'agent-list') this._updateAgents(message);
    if (message.type === 'server-notices') this._entries.mergeServerNotices(message.notices);
    if (message.type !== 'entry-presence') return;
    for (const load of message.confirmed ?? []) this._reconciler.noteConfirmed(load);
    if (this._entries.update(connection, message)) {
      connection.send(this._status());
      connection.send({ type: 'versions-heard', versions: this._heardVersions.all() });
    }
    this._updateOrigin(message.origin);
    this._updateVersions(message);
  }

  private _updateOrigin(address: string): void {
    if (address === '' || address === this._originAddress) return;
    this._originAddress = address;
    this._origin = new WatchedOrigin(this._deps.originAt(address), this._clock, this._deps.log);
  }

  private _updateAgents({ agents, revision }: AgentList): void {
    if (revision < this._agentsRevision) return;
    this._agentsRevision = revision;
    const members = agents.map((agent) => this._memberOf(agent));
    if (JSON.stringify(members) === JSON.stringify(this._members)) return;
    this._members = members;
    const connected = connectedPeers(this._settings.box, members);
    const boxes = connected.map(({ box }) => box);
    this._switchMembers = switchGroup(this._settings.box, members);
    this._peers.setPeers(connected);
    this._peerMessages.setPeers(boxes);
    this._stages.updateMembers();
    this._switchStates.setRecipients(boxes);
  }

  private _memberOf(agent: AgentAddress): Member {
    const { controlPort, chunkPort } = this._settings;
    const address = hostOf(agent.address);
    return { box: agent.box, dataCentre: agent.dataCentre, address, httpPort: chunkPort, controlPort };
  }

  private _updateVersions(presence: EntryPresence): void {
    const added = this._heardVersions.merge(presence.heard ?? []);
    if (added.length > 0) this._entries.sendToStatusListeners({ type: 'versions-heard', versions: added });
    for (const { model, version, knownMilliseconds } of presence.wanted) {
      const announcedAt = this._clock.now() - knownMilliseconds;
      if (this._stages.setTarget({ model, version, announcedAt })) this._reconciler.wake();
    }
  }

  /** Sends the switch state of this box to the other boxes and its status to the entries if they have changed. */
  private _onStateChange(): void {
    this._statusSender.onChange();
    this._switchStates.onChange();
  }

  /** Returns the phases of the other boxes of the switch group with respect to `version`. */
  private _switchPeers(version: number): SwitchPeer[] {
    const boxes = new Set(this._switchMembers.map((member) => member.box));
    return this._peerMessages.phases(version).filter((peer) => boxes.has(peer.box));
  }

  private _switchState(): SwitchState {
    const { nextVersion, switchPhase } = this._reconciler;
    return { type: 'switch-state', version: nextVersion, state: switchPhase };
  }

  private _status(): BoxStatus {
    return boxStatus(this._reconciler, this._stages);
  }
}
