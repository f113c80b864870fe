import type { PlanMessage } from '../protocol/rolloutMessages.js';
import { Bitset } from '../utils/bitset.js';
import { ChunkPicker } from './chunkPicker.js';
import type { ExchangeServices } from './exchangeServices.js';
import { HaveAnnouncer } from './haveAnnouncer.js';
import type { ManifestIndex } from './manifestIndex.js';
import { OriginFetcher } from './originFetcher.js';
import { PeerFetcher } from './peerFetcher.js';
import { PeerView } from './peerView.js';
import { topologyPolicy } from './topologies.js';
import type { Neighbour, Topology } from './topology.js';
import type { TransferCounts } from './transferCounts.js';

const FETCHES_PER_PEER = 1;
/** Interval of attempts to reserve memory for the version. */
const MEMORY_RETRY_MILLISECONDS = 500;
/** Interval at which all held chunks are announced to neighbours in other data centres. */
const CROSS_DATA_CENTRE_REFRESH_MILLISECONDS = 2_000;

/** Fetches the chunks of one rollout's version to this box and announces them to neighbours. */
export class RolloutExchange {
  readonly rollout: string;
  readonly held: Bitset;
  readonly counts: TransferCounts = {
    originBytes: 0,
    peerBytes: 0,
    crossDataCentreBytes: 0,
    corruptChunks: 0,
    overdueChunks: 0,
  };
  /** Why no chunks are fetched, or '' if there is no problem. */
  problem = '';
  private readonly _services: ExchangeServices;
  private readonly _plan: PlanMessage;
  private readonly _index: ManifestIndex;
  private readonly _picker: ChunkPicker;
  private readonly _onChange: () => void;
  private readonly _originFetcher: OriginFetcher;
  private readonly _peerFetcher: PeerFetcher;
  private readonly _imported = new Set<number>();
  private readonly _refreshTimer = setInterval(() => this._refresh(), CROSS_DATA_CENTRE_REFRESH_MILLISECONDS);
  private readonly _announcer = new HaveAnnouncer((chunks) => this._announce(chunks));
  private readonly _stopped = new AbortController();
  private _topology: Topology;
  private _neighbours: Map<string, Neighbour>;
  private _memoryTimer: NodeJS.Timeout | undefined;

  /** `onChange` is called whenever the number of held chunks or the problem changes. */
  constructor(services: ExchangeServices, plan: PlanMessage, index: ManifestIndex, onChange: () => void) {
    this.rollout = plan.rollout;
    this._services = services;
    this._plan = plan;
    this._index = index;
    this._onChange = onChange;
    this.held = new Bitset(index.chunkCount);
    this._topology = this._topologyFor(plan);
    this._neighbours = byBox(this._topology.neighbours);
    this._picker = new ChunkPicker({
      held: this.held,
      clock: services.clock,
      random: services.random,
      box: services.box,
      importers: (chunk) => this._topology.importers(chunk),
      importStepMilliseconds: services.bounds.importStepMilliseconds,
      fetchesPerPeer: FETCHES_PER_PEER,
    });
    this._originFetcher = this._createOriginFetcher();
    this._peerFetcher = this._createPeerFetcher();
  }

  get complete(): boolean {
    return this.held.full;
  }

  /** Whether chunks are being fetched from other boxes. */
  get isFetching(): boolean {
    return this._peerFetcher.fetching > 0;
  }

  /** Number of chunks that are being fetched from other boxes. */
  get fetching(): number {
    return this._peerFetcher.fetching;
  }

  /** Granted chunks whose origin fetch has not ended, in order. */
  get openDraws(): readonly number[] {
    return this._originFetcher.open;
  }

  /** Chunks whose origin fetch failed after bytes were received; each needs a new grant. */
  get failedDraws(): number[] {
    return this._originFetcher.failed;
  }

  /** Chunks that neither this box nor any neighbour holds and that are not being fetched. */
  unavailableChunks(): number[] {
    return this.held
      .missing()
      .filter((chunk) => !this._picker.isInFlight(chunk) && !this._picker.isAvailable(chunk));
  }

  /** Missing chunks that only one neighbour is known to hold, or only slow ones, each with such a neighbour. */
  soleHolders(): Map<number, string> {
    const found = new Map<number, string>();
    for (const chunk of this.held.missing()) {
      const holder = this._picker.soleHolder(chunk);
      if (holder !== undefined) found.set(chunk, holder);
    }
    return found;
  }

  get neighbours(): Neighbour[] {
    return [...this._neighbours.values()];
  }

  /** Reserves memory, adopts chunks that are in the store already and starts the exchange with neighbours. */
  start(): void {
    if (this._stopped.signal.aborted || !this._reserveMemory()) return;
    this._adoptStoredChunks();
    this.updateMembers(this._plan);
    this._originFetcher.resume();
    this._peerFetcher.fill();
    this._onChange();
  }

  /** Applies a plan with other members. */
  updateMembers(plan: PlanMessage): void {
    this._topology = this._topologyFor(plan);
    const neighbours = byBox(this._topology.neighbours);
    for (const peer of [...this._picker.peers()]) {
      if (!neighbours.has(peer.box)) this._picker.removePeer(peer);
    }
    this._neighbours = neighbours;
    for (const { member } of neighbours.values()) {
      if (this._services.peers.isConnected(member.box)) this.onPeerUp(member.box);
    }
  }

  /** Drops chunks whose origin fetch has not begun, so that the coordinator can grant them to another box. */
  dropPendingOriginFetches(): void {
    this._originFetcher.dropPending();
  }

  /** Adds a verified chunk that was found on this box. */
  adopt(chunk: number, data: Buffer): void {
    this._store(chunk, data, true);
  }

  /** Queues chunks to fetch from the origin; see {@link OriginFetcher.grant}. */
  grant(chunks: readonly number[], urgent = false): void {
    this._originFetcher.grant(chunks, urgent);
  }

  /** Drops origin fetches that are now assigned to other boxes; see {@link OriginFetcher.keepOnly}. */
  keepOnlyOriginFetches(chunks: readonly number[]): void {
    this._originFetcher.keepOnly(chunks);
  }

  onPeerUp(box: string): void {
    const neighbour = this._neighbours.get(box);
    if (!neighbour || this._picker.peer(box)?.connected) return;
    const peer = new PeerView(box, neighbour.crossDataCentre, this.held.size);
    peer.connected = true;
    this._picker.addPeer(peer);
    this._sendJoin(box);
  }

  onPeerDown(box: string): void {
    const peer = this._picker.peer(box);
    if (!peer) return;
    peer.connected = false;
    this._picker.removePeer(peer);
  }

  /** Handles the announcement of all chunks that a neighbour holds. */
  onPeerJoin(box: string, held: Uint8Array): void {
    this.onPeerUp(box);
    this.onPeerHave(box, Bitset.fromBytes(this.held.size, held).members(), 0);
  }

  /** Handles the announcement of further chunks that a neighbour holds. */
  onPeerHave(box: string, chunks: readonly number[], uploadQueue: number): void {
    const peer = this._picker.peer(box);
    if (!peer) return;
    peer.uploadQueue = uploadQueue;
    for (const chunk of chunks) {
      if (chunk < this.held.size) this._picker.markHeld(peer, chunk);
    }
    this._peerFetcher.fill();
  }

  /** Ends all transfers. Stored chunks stay until they are released from the store. */
  stop(): void {
    this._stopped.abort();
    this._announcer.stop();
    clearInterval(this._refreshTimer);
    clearTimeout(this._memoryTimer);
    this._peerFetcher.stop();
  }

  private _createOriginFetcher(): OriginFetcher {
    const { origin, bounds, random, logger } = this._services;
    return new OriginFetcher({
      customer: this._plan.customer,
      index: this._index,
      origin,
      bounds,
      counts: this.counts,
      random,
      logger,
      signal: this._stopped.signal,
      hasReservedMemory: () => this.problem === '',
      isHeld: (chunk) => this.held.has(chunk),
      isInFlight: (chunk) => this._picker.isInFlight(chunk),
      markInFlight: (chunk) => {
        this._picker.markInFlight(chunk);
        return () => this._picker.clearInFlight(chunk);
      },
      store: (chunk, data) => this._store(chunk, data, true),
      onChange: this._onChange,
    });
  }

  private _createPeerFetcher(): PeerFetcher {
    const { client, bounds, clock, random, logger, mayFetchFromPeers = () => true } = this._services;
    return new PeerFetcher({
      mayFetch: mayFetchFromPeers,
      rollout: this.rollout,
      index: this._index,
      picker: this._picker,
      client,
      bounds,
      counts: this.counts,
      clock,
      random,
      logger,
      signal: this._stopped.signal,
      member: (box) => this._neighbours.get(box)?.member,
      isComplete: () => this.complete,
      store: (chunk, data, crossDataCentre) => this._store(chunk, data, crossDataCentre),
    });
  }

  private _topologyFor(plan: PlanMessage): Topology {
    return topologyPolicy(plan.distribution).topologyOf(this._services.box, plan.members);
  }

  /** Reserves memory for the version. If there is too little, retries until another version has been dropped. */
  private _reserveMemory(): boolean {
    const { store } = this._services;
    if (store.retain(this.rollout, this._plan.customer, this._plan.manifest.chunks) === 'retained') {
      this.problem = '';
      return true;
    }
    const needed = this._index.totalBytes;
    this.problem = `staging memory: needs ${needed} bytes, ${store.retainedBytes} of ${store.limitBytes} are taken`;
    this._memoryTimer = setTimeout(() => this.start(), MEMORY_RETRY_MILLISECONDS);
    this._onChange();
    return false;
  }

  private _adoptStoredChunks(): void {
    for (let chunk = 0; chunk < this._index.chunkCount; chunk++) {
      if (this._services.store.has(this._plan.customer, this._index.chunk(chunk).digest))
        this.held.add(chunk);
    }
  }

  /** Stores a chunk. `imported` ones, from outside the data centre, are announced to other data centres as well. */
  private _store(chunk: number, data: Buffer, imported: boolean): void {
    if (this._stopped.signal.aborted) return;
    this._services.store.put(this._plan.customer, this._index.chunk(chunk).digest, data);
    if (!this.held.add(chunk)) return;
    if (imported) this._imported.add(chunk);
    this._announcer.add(chunk);
    this._onChange();
  }

  /** Only the boxes that imported a chunk announce it to other data centres, so that each of these fetches it once. */
  private _announce(chunks: number[]): void {
    const imported = chunks.filter(
      (chunk) => this._imported.has(chunk) || this._topology.importers(chunk) === undefined,
    );
    this._sendHave(false, chunks);
    this._sendHave(true, imported);
  }

  private _sendHave(crossDataCentre: boolean, chunks: number[]): void {
    if (chunks.length === 0) return;
    const { peers, uploads } = this._services;
    // Neighbours that hold all of the chunks don't need to know of another holder.
    const boxes = this._picker.peersLacking(chunks, crossDataCentre).map((peer) => peer.box);
    if (boxes.length === 0) return;
    peers.broadcast(boxes, { type: 'have', rollout: this.rollout, chunks, uploadQueue: uploads.length });
  }

  /** Announces all held chunks to other data centres, in case the box that imported a chunk is lost. */
  private _refresh(): void {
    for (const peer of this._picker.peers()) {
      if (peer.crossDataCentre && !peer.held.full) this._sendJoin(peer.box);
    }
  }

  private _sendJoin(box: string): void {
    this._services.peers.send(box, { type: 'swarm-join', rollout: this.rollout, held: this.held.toBytes() });
  }
}

function byBox(neighbours: readonly Neighbour[]): Map<string, Neighbour> {
  return new Map(neighbours.map((neighbour) => [neighbour.member.box, neighbour]));
}
