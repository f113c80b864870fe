/** Brings one version's chunks to this box and hands them on: one instance per rollout. */
import type { Origin } from '../platform/origin.js';
import type { PlanMessage } from '../protocol/rolloutMessages.js';
import type { Logger } from '../telemetry/logger.js';
import { Bitset } from '../utils/bitset.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import { errorText } from '../utils/stepError.js';
import type { AgentPeers } from './agentPeers.js';
import type { ChunkStore } from './chunkStore.js';
import type { Pick } from './chunkPicker.js';
import { ChunkPicker } from './chunkPicker.js';
import type { TransferBounds } from './chunkSource.js';
import { CorruptChunkError, receiveChunk } from './chunkSource.js';
import { HaveAnnouncer } from './haveAnnouncer.js';
import type { ManifestIndex } from './manifestIndex.js';
import type { PeerChunkClient } from './peerChunkClient.js';
import { PeerBusyError } from './peerChunkClient.js';
import { OriginDrawer } from './originDrawer.js';
import { PeerView } from './peerView.js';
import { topologyPolicy } from './topologies.js';
import type { Neighbour, Topology } from './topology.js';
import type { TransferCounts } from './transferCounts.js';
import type { UploadQueue } from './uploadQueue.js';

/** Fetches under way at the same time; enough to keep the incoming link busy while some wait in a queue. */
const FETCHES_AT_ONCE = 8;
const FETCHES_PER_PEER = 1;
const IMPORT_STEP_MILLISECONDS = 2_000;
/** How long to wait before looking again when there is nothing to fetch. */
const IDLE_RETRY_MILLISECONDS = 25;
/** How often neighbours in other halls are told everything. */
const REFRESH_MILLISECONDS = 2_000;
const BUSY_PEER_MILLISECONDS = 40;
const FAILED_PEER_MILLISECONDS = 500;

/** What an exchange works with; shared by all exchanges of an agent. */
export interface ExchangeServices {
  box: string;
  store: ChunkStore;
  peers: AgentPeers;
  client: PeerChunkClient;
  origin: Origin;
  uploads: UploadQueue;
  bounds: TransferBounds;
  clock: Clock;
  random: Random;
  logger: Logger;
}

/** Fetches what is missing until the version is complete, and answers neighbours throughout. */
export class RolloutExchange {
  readonly rollout: string;
  readonly held: Bitset;
  readonly counts: TransferCounts = { originBytes: 0, peerBytes: 0, crossHallBytes: 0, corruptChunks: 0 };
  /** Why nothing moves, or ''. */
  problem = '';
  private readonly _services: ExchangeServices;
  private readonly _plan: PlanMessage;
  private readonly _index: ManifestIndex;
  private readonly _picker: ChunkPicker;
  private readonly _onChange: () => void;
  private readonly _drawer: OriginDrawer;
  private readonly _brought = new Set<number>();
  private readonly _refreshTimer = setInterval(() => this._refresh(), REFRESH_MILLISECONDS);
  private readonly _announcer = new HaveAnnouncer((chunks) => this._announce(chunks));
  private readonly _stopped = new AbortController();
  private _topology: Topology;
  private _members: Map<string, Neighbour>;
  private _idleTimer: NodeJS.Timeout | undefined;
  private _fetching = 0;

  /** `onChange` is called whenever the number of held chunks or the problem changes. */
  constructor(services: ExchangeServices, plan: PlanMessage, index: ManifestIndex, onChange: () => void) {
    this.rollout = plan.rollout;
    this._services = services;
    this._plan = plan;
    this._index = index;
    this._onChange = onChange;
    this.held = new Bitset(index.chunkCount);
    this._topology = this._topologyFor(plan);
    this._members = byBox(this._topology.neighbours);
    this._picker = new ChunkPicker({
      held: this.held,
      clock: services.clock,
      random: services.random,
      box: services.box,
      importers: (chunk) => this._topology.importers(chunk),
      importStepMilliseconds: IMPORT_STEP_MILLISECONDS,
      fetchesPerPeer: FETCHES_PER_PEER,
    });
    this._drawer = this._createDrawer();
  }

  get complete(): boolean {
    return this.held.full;
  }

  /** Granted draws that have not ended, in order. */
  get openDraws(): readonly number[] {
    return this._drawer.open;
  }

  /** Draws that took bytes and failed; each needs a new grant. */
  get failedDraws(): number[] {
    return this._drawer.failed;
  }

  get neighbours(): Neighbour[] {
    return [...this._members.values()];
  }

  /** Takes over what the store holds already and opens the exchange. */
  start(): void {
    this._adoptStoredChunks();
    this.updateMembers(this._plan);
    this._fill();
  }

  /** Follows a plan with other members. */
  updateMembers(plan: PlanMessage): void {
    this._topology = this._topologyFor(plan);
    const wanted = byBox(this._topology.neighbours);
    for (const peer of [...this._picker.peers()]) {
      if (!wanted.has(peer.box)) this._picker.removePeer(peer);
    }
    this._members = wanted;
    for (const { member } of wanted.values()) {
      if (this._services.peers.isConnected(member.box)) this.onPeerUp(member.box);
    }
  }

  /** Gives up all draws that have not begun, so that the coordinator can grant them to another box. */
  dropDraws(): void {
    this._drawer.dropWaiting();
  }

  /** Queues draws from the origin. */
  grant(chunks: readonly number[]): void {
    this._drawer.grant(chunks);
  }

  onPeerUp(box: string): void {
    const neighbour = this._members.get(box);
    if (!neighbour || this._picker.peer(box)?.connected) return;
    const view = new PeerView(box, neighbour.crossHall, this.held.size);
    view.connected = true;
    this._picker.addPeer(view);
    this._sendJoin(box);
  }

  onPeerDown(box: string): void {
    const view = this._picker.peer(box);
    if (!view) return;
    view.connected = false;
    this._picker.removePeer(view);
  }

  /** Takes the whole holdings of a neighbour. */
  onPeerJoin(box: string, held: Uint8Array): void {
    this.onPeerUp(box);
    this.onPeerHave(box, Bitset.fromBytes(this.held.size, held).members(), 0);
  }

  /** Takes news of a neighbour. */
  onPeerHave(box: string, chunks: readonly number[], uploadQueue: number): void {
    const view = this._picker.peer(box);
    if (!view) return;
    view.uploadQueue = uploadQueue;
    for (const chunk of chunks) {
      if (chunk < this.held.size) this._picker.noteHeld(view, chunk);
    }
    this._fill();
  }

  /** Ends all transfers; what is stored stays until the store is told otherwise. */
  stop(): void {
    this._stopped.abort();
    this._announcer.stop();
    clearInterval(this._refreshTimer);
    clearTimeout(this._idleTimer);
  }

  private _createDrawer(): OriginDrawer {
    const { origin, bounds, random, logger } = this._services;
    return new OriginDrawer({
      customer: this._plan.customer,
      index: this._index,
      origin,
      bounds,
      counts: this.counts,
      random,
      logger,
      signal: this._stopped.signal,
      isHeld: (chunk) => this.held.has(chunk),
      isInFlight: (chunk) => this._picker.isInFlight(chunk),
      begin: (chunk) => {
        this._picker.begin(chunk);
        return () => this._picker.end(chunk);
      },
      store: (chunk, data) => this._store(chunk, data, true),
      onChange: this._onChange,
    });
  }

  private _topologyFor(plan: PlanMessage): Topology {
    return topologyPolicy(plan.distribution).topologyOf(this._services.box, plan.members);
  }

  private _adoptStoredChunks(): void {
    for (let chunk = 0; chunk < this._index.chunkCount; chunk++) {
      if (this._services.store.has(this._plan.customer, this._index.chunk(chunk).digest))
        this.held.add(chunk);
    }
  }

  private _fill(): void {
    while (this._mayFetch()) {
      const pick = this._picker.next();
      if (!pick) {
        this._retryWhenIdle();
        return;
      }
      void this._fetch(pick);
    }
  }

  private _mayFetch(): boolean {
    return !this.complete && !this._stopped.signal.aborted && this._fetching < FETCHES_AT_ONCE;
  }

  private _retryWhenIdle(): void {
    if (this._idleTimer) return;
    this._idleTimer = setTimeout(() => {
      this._idleTimer = undefined;
      this._fill();
    }, IDLE_RETRY_MILLISECONDS);
  }

  private async _fetch({ chunk, peer }: Pick): Promise<void> {
    this._fetching++;
    peer.inFlight++;
    this._picker.begin(chunk);
    this._services.logger.decision('chunk.fetch', { rollout: this.rollout, chunk, peer: peer.box });
    try {
      this._store(chunk, await this._receiveFromPeer(chunk, peer), peer.crossHall);
    } catch (error) {
      this._onFetchFailed(peer, error);
    } finally {
      this._fetching--;
      peer.inFlight--;
      this._picker.end(chunk);
      this._fill();
    }
  }

  private async _receiveFromPeer(chunk: number, peer: PeerView): Promise<Buffer> {
    const { client, bounds } = this._services;
    const member = this._members.get(peer.box)!.member;
    const open = async (signal: AbortSignal): Promise<AsyncIterable<Buffer>> => {
      const opened = await client.open(member, this.rollout, chunk, this._orStopped(signal));
      peer.uploadQueue = opened.uploadQueue;
      return opened.body;
    };
    const onBytes = (bytes: number): void => {
      this.counts[peer.crossHall ? 'crossHallBytes' : 'peerBytes'] += bytes;
    };
    return await receiveChunk(this._index.chunk(chunk), bounds, open, onBytes, peer.box);
  }

  private _onFetchFailed(peer: PeerView, error: unknown): void {
    if (this._stopped.signal.aborted) return;
    const now = this._services.clock.now();
    if (error instanceof PeerBusyError) {
      peer.avoidUntil(now + BUSY_PEER_MILLISECONDS * (1 + this._services.random.fraction()));
      return;
    }
    if (error instanceof CorruptChunkError) this._countCorrupt(peer);
    peer.avoidUntil(now + FAILED_PEER_MILLISECONDS);
    this._services.logger.decision('chunk.failed', {
      rollout: this.rollout,
      peer: peer.box,
      reason: errorText(error),
    });
  }

  private _countCorrupt(peer: PeerView): void {
    this.counts.corruptChunks++;
    peer.countCorruptChunk();
    if (peer.setAside)
      this._services.logger.state('peer.set-aside', { rollout: this.rollout, peer: peer.box });
  }

  private _orStopped(signal: AbortSignal): AbortSignal {
    return AbortSignal.any([signal, this._stopped.signal]);
  }

  /** `brought` says that the chunk came from outside the hall, so that this box is the one that other halls ask. */
  private _store(chunk: number, data: Buffer, brought: boolean): void {
    if (this._stopped.signal.aborted) return;
    const { store } = this._services;
    if (store.put(this._plan.customer, this._index.chunk(chunk).digest, data) === 'full') {
      this.problem = `staging memory full: ${store.usedBytes} of ${store.limitBytes} bytes used`;
      this._onChange();
      return;
    }
    this.problem = '';
    if (!this.held.add(chunk)) return;
    if (brought) this._brought.add(chunk);
    this._announcer.add(chunk);
    this._onChange();
  }

  /** Other halls hear of a chunk only from the boxes that brought it into this one: each fetches it once. */
  private _announce(chunks: number[]): void {
    const uploadQueue = this._services.uploads.length;
    const brought = chunks.filter(
      (chunk) => this._brought.has(chunk) || this._topology.importers(chunk) === undefined,
    );
    for (const peer of this._picker.peers()) {
      const news = peer.crossHall ? brought : chunks;
      if (news.length === 0) continue;
      this._services.peers.send(peer.box, { type: 'have', rollout: this.rollout, chunks: news, uploadQueue });
    }
  }

  /** Tells other halls everything now and then, for when the box that brought a chunk is lost. */
  private _refresh(): void {
    for (const peer of this._picker.peers()) {
      if (peer.crossHall && !peer.held.full) this._sendJoin(peer.box);
    }
  }

  private _sendJoin(box: string): void {
    this._services.peers.send(box, { type: 'swarm-join', rollout: this.rollout, held: this.held.toBytes() });
  }
}

function byBox(neighbours: readonly Neighbour[]): Map<string, Neighbour> {
  return new Map(neighbours.map((neighbour) => [neighbour.member.box, neighbour]));
}
