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
 * Picks the rarest chunk first. A chunk that a neighbour in the own data centre holds is never fetched from another
 * data centre. A chunk that only other data centres hold is fetched before all others, and by one gateway; if that
 * gateway does not fetch it in time, the next one in the order of `importers` does.
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

  isInFlight(chunk: number): boolean {
    return this._inFlight.has(chunk);
  }

  /** Returns the next fetch, or undefined when there is nothing to fetch now. */
  next(): ChunkPick | undefined {
    const candidates = this._candidates();
    for (const chunk of candidates) {
      const peer = this._bestHolder(chunk);
      if (peer) return { chunk, peer };
    }
    return undefined;
  }

  /** Chunks that may be fetched: first those of other data centres only, then the rarest; ties in random order. */
  private _candidates(): number[] {
    const { held, random } = this._options;
    const candidates: { chunk: number; order: number }[] = [];
    for (let chunk = 0; chunk < held.size; chunk++) {
      if (held.has(chunk) || this._inFlight.has(chunk)) continue;
      const holders = this._holdersInDataCentre[chunk];
      if (holders > 0 || this._mayImport(chunk))
        candidates.push({ chunk, order: holders + random.fraction() });
    }
    return candidates.sort((a, b) => a.order - b.order).map((item) => item.chunk);
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
    const crossDataCentre = this._holdersInDataCentre[chunk] === 0;
    let best: PeerView | undefined;
    for (const peer of this._peers.values()) {
      if (peer.crossDataCentre !== crossDataCentre || !peer.held.has(chunk) || !peer.isUsable(now)) continue;
      if (peer.inFlight >= this._options.fetchesPerPeer) continue;
      if (!best || loadOf(peer) < loadOf(best)) best = peer;
    }
    return best;
  }
}

function loadOf(peer: PeerView): number {
  return peer.inFlight + peer.uploadQueue;
}
