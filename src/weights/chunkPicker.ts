/** Decides which chunk to fetch next, and from which neighbour. Does no I/O. */
import type { Bitset } from '../utils/bitset.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import type { PeerView } from './peerView.js';

/** A chunk to fetch, and the peer to fetch it from. */
export interface ChunkPick {
  chunk: number;
  peer: PeerView;
}

export interface ChunkPickerOptions {
  held: Bitset;
  clock: Clock;
  random: Random;
  box: string;
  /** See Topology.importers. */
  importers: (chunk: number) => readonly string[] | undefined;
  /** See TransferBounds.importStepMilliseconds. */
  importStepMilliseconds: number;
  /** Most concurrent fetches from one peer. */
  fetchesPerPeer: number;
}

/**
 * A waiting upload at the least loaded holder counts like this many holders more. Without it, all boxes asked the one
 * holder of the newest chunk, while the links of the others were idle: of the time until 36 boxes had a complete copy,
 * their outgoing links were in use for a half.
 */
const HOLDERS_PER_LOAD = 2;
/** Longer upload queues count like this one, since reports of them are out of date soon. */
const MAXIMUM_COUNTED_LOAD = 3;
/**
 * Largest share of the neighbours that may count as slow. If more are, the link or the processor of this box is short
 * itself, or all boxes are: further imports and fetches would add to the load.
 */
const MAXIMUM_SLOW_SHARE = 1 / 3;
/** Load that a slow peer counts as: it is asked only for chunks that no other peer can send. */
const SLOW_LOAD = 1_000;

/**
 * Picks rare chunks first, but prefers those whose holder is idle. A chunk that a neighbour in the own data centre holds
 * is not fetched from another data centre unless transfers from all these holders are slow. A chunk that only other
 * data centres hold is fetched before all others, and by one gateway; if that gateway does not fetch it in time, the
 * next one in the order of `importers` does.
 */
export class ChunkPicker {
  private readonly _options: ChunkPickerOptions;
  private readonly _peers = new Map<string, PeerView>();
  private readonly _inFlight = new Set<number>();
  private readonly _holdersInDataCentre: Uint16Array;
  private readonly _firstRemoteHolderAt: Float64Array;

  constructor(options: ChunkPickerOptions) {
    this._options = options;
    this._holdersInDataCentre = new Uint16Array(options.held.size);
    this._firstRemoteHolderAt = new Float64Array(options.held.size).fill(Number.POSITIVE_INFINITY);
  }

  addPeer(peer: PeerView): void {
    this._peers.set(peer.box, peer);
  }

  peer(box: string): PeerView | undefined {
    return this._peers.get(box);
  }

  peers(): Iterable<PeerView> {
    return this._peers.values();
  }

  /** Returns neighbours, either in the own data centre or in others, that are not known to hold all of `chunks`. */
  peersLacking(chunks: readonly number[], crossDataCentre: boolean): PeerView[] {
    const lacksOne = (peer: PeerView): boolean => chunks.some((chunk) => !peer.held.has(chunk));
    return [...this._peers.values()].filter(
      (peer) => peer.crossDataCentre === crossDataCentre && lacksOne(peer),
    );
  }

  /** Records that `peer` holds `chunk`. */
  markHeld(peer: PeerView, chunk: number): void {
    if (!peer.held.add(chunk)) return;
    if (!peer.crossDataCentre) this._holdersInDataCentre[chunk]++;
    else if (this._firstRemoteHolderAt[chunk] === Number.POSITIVE_INFINITY)
      this._firstRemoteHolderAt[chunk] = this._options.clock.now();
  }

  /** Removes a disconnected peer and what it held. */
  removePeer(peer: PeerView): void {
    this._peers.delete(peer.box);
    if (peer.crossDataCentre) return;
    for (let chunk = 0; chunk < peer.held.size; chunk++) {
      if (peer.held.has(chunk)) this._holdersInDataCentre[chunk]--;
    }
  }

  /** Records that a chunk is being fetched, from a peer or from the origin. */
  markInFlight(chunk: number): void {
    this._inFlight.add(chunk);
  }

  /** Ends {@link ChunkPicker.markInFlight}. */
  clearInFlight(chunk: number): void {
    this._inFlight.delete(chunk);
  }

  /** Whether any neighbour is known to hold the chunk. */
  isAvailable(chunk: number): boolean {
    for (const peer of this._peers.values()) if (peer.held.has(chunk)) return true;
    return false;
  }

  /** Boxes of the neighbours that are known to hold the chunk. */
  holders(chunk: number): string[] {
    return [...this._peers.values()].filter((peer) => peer.held.has(chunk)).map((peer) => peer.box);
  }

  /** Whether transfers from `peer` are slow while those from most others are not. */
  isSlow(peer: PeerView): boolean {
    const now = this._options.clock.now();
    if (!peer.isSlow(now)) return false;
    let slow = 0;
    for (const other of this._peers.values()) if (other.isSlow(now)) slow++;
    return slow <= this._peers.size * MAXIMUM_SLOW_SHARE;
  }

  /** Returns the box that alone holds the chunk, or one of its holders if transfers from all of them are slow. */
  soleHolder(chunk: number): string | undefined {
    const holders = [...this._peers.values()].filter((peer) => peer.held.has(chunk));
    const isScarce = holders.length === 1 || holders.every((peer) => this.isSlow(peer));
    return isScarce ? holders[0]?.box : undefined;
  }

  isInFlight(chunk: number): boolean {
    return this._inFlight.has(chunk);
  }

  /** Returns the next fetch, or undefined when there is nothing to fetch now. */
  next(): ChunkPick | undefined {
    const { held } = this._options;
    let best: (ChunkPick & { order: number }) | undefined;
    for (let chunk = 0; chunk < held.size; chunk++) {
      if (held.has(chunk) || this._inFlight.has(chunk)) continue;
      if (!this._hasFastHolder(chunk) && !this._mayImport(chunk) && this._holdersInDataCentre[chunk] === 0)
        continue;
      const peer = this._bestHolder(chunk);
      if (!peer) continue;
      const order = this._orderOf(chunk, peer);
      if (!best || order < best.order) best = { chunk, peer, order };
    }
    return best && { chunk: best.chunk, peer: best.peer };
  }

  /** Lower ones are fetched first: chunks of other data centres only, then by number of holders and load. */
  private _orderOf(chunk: number, peer: PeerView): number {
    const fraction = this._options.random.fraction();
    if (peer.crossDataCentre) return fraction - 1;
    const holders = this._holdersInDataCentre[chunk];
    const load = this.isSlow(peer) ? SLOW_LOAD : Math.min(loadOf(peer), MAXIMUM_COUNTED_LOAD);
    return holders + load * HOLDERS_PER_LOAD + fraction;
  }

  /** Whether a neighbour in the own data centre holds the chunk whose transfers are not slow just now. */
  private _hasFastHolder(chunk: number): boolean {
    if (this._holdersInDataCentre[chunk] === 0) return false;
    for (const peer of this._peers.values()) {
      if (!peer.crossDataCentre && peer.held.has(chunk) && !this.isSlow(peer)) return true;
    }
    return false;
  }

  private _mayImport(chunk: number): boolean {
    if (this._firstRemoteHolderAt[chunk] === Number.POSITIVE_INFINITY) return false;
    const importers = this._options.importers(chunk);
    if (importers === undefined) return true;
    const position = importers.indexOf(this._options.box);
    if (position < 0) return false;
    const connectedBefore = importers.slice(0, position).filter((box) => this._peers.has(box)).length;
    const waited = this._options.clock.now() - this._firstRemoteHolderAt[chunk];
    return waited >= connectedBefore * this._options.importStepMilliseconds;
  }

  /** The least loaded usable holder: in the own data centre if any neighbour there holds the chunk, else in others. */
  private _bestHolder(chunk: number): PeerView | undefined {
    const now = this._options.clock.now();
    const crossDataCentre = !this._hasFastHolder(chunk) && this._mayImport(chunk);
    let best: PeerView | undefined;
    for (const peer of this._peers.values()) {
      if (peer.crossDataCentre !== crossDataCentre || !peer.held.has(chunk) || !peer.isUsable(now)) continue;
      if (peer.inFlight >= this._options.fetchesPerPeer) continue;
      if (!best || this._isBetter(peer, best)) best = peer;
    }
    return best;
  }

  private _isBetter(peer: PeerView, other: PeerView): boolean {
    const isSlow = this.isSlow(peer);
    return isSlow === this.isSlow(other) ? loadOf(peer) < loadOf(other) : !isSlow;
  }
}

function loadOf(peer: PeerView): number {
  return peer.inFlight + peer.uploadQueue;
}
