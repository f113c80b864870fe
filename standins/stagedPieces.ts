/** The staged pieces of the runner stand-in, and the layers that it has taken from them. */
import type http from 'node:http';
import { sha256Hex } from '../src/utils/hash.js';
import { sendJsonAnswer } from './standinServer.js';
import type { WeightsShape } from './weightsFixture.js';
import { versionDigests } from './weightsFixture.js';

export const LAYER_COUNT = 4;

/** Consecutive layers, from `source` up to but not including `target`. */
export interface LayerSpan {
  source: number;
  target: number;
}

const ALL_LAYERS: LayerSpan = { source: 0, target: LAYER_COUNT };

export class StagedPieces {
  /** Bytes by piece. */
  readonly bytes = new Map<number, Buffer>();
  /** By piece: when it was corrupted, in Unix milliseconds. */
  private readonly _corruptedAt = new Map<number, number>();

  /** Answers a call that writes a piece, reads one, or lists them if `piece` is null. */
  serve(
    call: 'stage-put' | 'stage-get',
    piece: string | null,
    body: Buffer,
    response: http.ServerResponse,
  ): void {
    if (call === 'stage-put') {
      this.put(Number(piece), body);
      return void response.writeHead(200).end();
    }
    if (piece === null) return sendJsonAnswer(response, 200, { held: [...this.bytes.keys()] });
    const bytes = this.bytes.get(Number(piece));
    if (bytes) response.writeHead(200, { 'content-length': bytes.length }).end(bytes);
    else response.writeHead(404).end();
  }

  put(piece: number, bytes: Buffer): void {
    this.bytes.set(piece, bytes);
    this._corruptedAt.delete(piece);
  }

  corrupt(piece: number): void {
    const bytes = this.bytes.get(piece);
    if (!bytes) return;
    bytes[0] ^= 1;
    this._corruptedAt.set(piece, Date.now());
  }

  /** Whether the piece is staged and intact, or was corrupted within the last `graceMilliseconds`. */
  isIntact(piece: number, digest: string, graceMilliseconds = 0): boolean {
    const bytes = this.bytes.get(piece);
    if (!bytes) return false;
    const corruptedAt = this._corruptedAt.get(piece) ?? Number.NEGATIVE_INFINITY;
    return Date.now() - corruptedAt < graceMilliseconds || sha256Hex(bytes) === digest;
  }

  /** Whether all pieces of a version are intact; see {@link StagedPieces.isIntact}. */
  isComplete(weights: WeightsShape, version: number, graceMilliseconds: number): boolean {
    const digests = versionDigests(weights, version);
    return digests.every((digest, piece) => this.isIntact(piece, digest, graceMilliseconds));
  }
}

export class HeldLayers {
  /** By layer: whether all of its pieces were intact when it was taken. */
  private readonly _intact = new Map<number, boolean>();

  /** Layers that were not loaded by an order are intact. */
  constructor(version: number) {
    if (version > 0) for (let layer = 0; layer < LAYER_COUNT; layer++) this._intact.set(layer, true);
  }

  get span(): LayerSpan {
    const layers = [...this._intact.keys()];
    return layers.length > 0 ? { source: Math.min(...layers), target: Math.max(...layers) + 1 } : ALL_LAYERS;
  }

  get isWhole(): boolean {
    return this._intact.size === LAYER_COUNT;
  }

  get isIntact(): boolean {
    return [...this._intact.values()].every(Boolean);
  }

  /** Takes all layers of another version from the staged pieces. */
  replace(weights: WeightsShape, version: number, staged: StagedPieces): void {
    this._intact.clear();
    this.hold(ALL_LAYERS, weights, version, staged);
  }

  /** Releases all layers outside `span`, and takes those in it that are not held. */
  hold({ source, target }: LayerSpan, weights: WeightsShape, version: number, staged: StagedPieces): void {
    const digests = versionDigests(weights, version);
    for (const layer of this._intact.keys())
      if (layer < source || layer >= target) this._intact.delete(layer);
    for (let layer = source; layer < target; layer++) {
      if (this._intact.has(layer)) continue;
      const first = Math.floor((layer * digests.length) / LAYER_COUNT);
      const end = Math.ceil(((layer + 1) * digests.length) / LAYER_COUNT);
      const pieces = digests.slice(first, end).map((digest, index) => ({ piece: first + index, digest }));
      this._intact.set(
        layer,
        pieces.every(({ piece, digest }) => staged.isIntact(piece, digest)),
      );
    }
  }
}
