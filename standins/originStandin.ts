/** Stand-in for the origin of weights and the weight store: generated versions, and a link of limited bandwidth. */
import { createCipheriv } from 'node:crypto';
import type http from 'node:http';
import { untilDrained } from '../src/utils/backpressure.js';
import { sha256Hex } from '../src/utils/hash.js';
import { RateLimiter } from '../src/utils/rateLimiter.js';
import { SeededRandom } from '../src/utils/random.js';
import { StandinServer, sendJsonAnswer } from './standinServer.js';
import type { StandinRequest } from './standinServer.js';

/** Faults that can be injected. */
export interface OriginFaults {
  availability: 'up' | 'refusing';
  /** Share of reads with corrupt data. */
  corruptShare: number;
  /** Share of reads that send half of the data and then hang. */
  stallShare: number;
}

/** A version to generate and publish. `changedShare` of its chunks differ from those of the version `base`. */
export interface VersionRecipe {
  customer: string;
  model: string;
  version: string;
  chunkBytes: number;
  chunkCount: number;
  base?: string;
  changedShare?: number;
}

interface StoredVersion {
  manifest: unknown;
  data: Buffer;
  blobDigest: string;
}

const PIECE_BYTES = 64 * 1024;

/**
 * Serves `/weights/{customer}/{model}/{version}/manifest` and `/data`. `POST /_versions` publishes a
 * {@link VersionRecipe}.
 */
export class OriginStandin extends StandinServer<OriginFaults> {
  private readonly _versions = new Map<string, StoredVersion>();
  private readonly _limiter: RateLimiter;
  private readonly _random = new SeededRandom(7);
  private _bytesSent = 0;

  /** `bytesPerSecond` is the bandwidth of the origin's link; 0 for unlimited. */
  constructor(bytesPerSecond: number) {
    super({ availability: 'up', corruptShare: 0, stallShare: 0 });
    this._limiter = new RateLimiter(bytesPerSecond);
  }

  protected override async handle(request: StandinRequest): Promise<void> {
    const { url, response, body } = request;
    if (url.pathname === '/_counts') return sendJsonAnswer(response, 200, { bytesSent: this._bytesSent });
    if (url.pathname === '/_versions')
      return sendJsonAnswer(response, 200, this._publish(body as VersionRecipe));
    if (this.faults.availability === 'refusing') return sendJsonAnswer(response, 503, { error: 'refusing' });
    const [, , customer, model, version, part] = url.pathname.split('/');
    const stored = this._versions.get(`${customer}/${model}/${version}`);
    if (!stored) return sendJsonAnswer(response, 404, { error: 'no such version' });
    if (part === 'manifest') return sendJsonAnswer(response, 200, stored.manifest);
    await this._sendRange(stored, request);
  }

  private _publish(recipe: VersionRecipe): unknown {
    const chunks: { digest: string; size: number }[] = [];
    const pieces: Buffer[] = [];
    const changed = Math.round(recipe.chunkCount * (recipe.changedShare ?? 1));
    for (let index = 0; index < recipe.chunkCount; index++) {
      const source = index < changed || !recipe.base ? recipe.version : recipe.base;
      const chunk = chunkContent(`${recipe.customer}/${recipe.model}/${source}/${index}`, recipe.chunkBytes);
      pieces.push(chunk);
      chunks.push({ digest: sha256Hex(chunk), size: chunk.length });
    }
    const data = Buffer.concat(pieces);
    const blobDigest = sha256Hex(data);
    const manifest = { model: recipe.model, version: recipe.version, chunks };
    this._versions.set(`${recipe.customer}/${recipe.model}/${recipe.version}`, {
      manifest,
      data,
      blobDigest,
    });
    return { blobDigest, totalBytes: data.length };
  }

  private async _sendRange(stored: StoredVersion, { headers, response }: StandinRequest): Promise<void> {
    const match = /^bytes=(\d+)-(\d+)$/.exec(headers.range ?? '');
    if (!match) return sendJsonAnswer(response, 416, { error: 'a Range header is required' });
    const data = this._corruptSome(stored.data.subarray(Number(match[1]), Number(match[2]) + 1));
    response.writeHead(206, { 'content-length': data.length });
    const sendable = this._random.fraction() < this.faults.stallShare ? data.length >> 1 : data.length;
    for (let start = 0; start < sendable && !response.destroyed; start += PIECE_BYTES) {
      const piece = data.subarray(start, Math.min(start + PIECE_BYTES, sendable));
      await this._limiter.acquire(piece.length);
      this._bytesSent += piece.length;
      await writePiece(response, piece);
    }
    if (sendable === data.length) response.end();
  }

  private _corruptSome(data: Buffer): Buffer {
    if (this._random.fraction() >= this.faults.corruptShare) return data;
    const copy = Buffer.from(data);
    copy[copy.length >> 1] ^= 0xff;
    return copy;
  }
}

async function writePiece(response: http.ServerResponse, piece: Buffer): Promise<void> {
  if (!response.write(piece)) await untilDrained(response);
}

function chunkContent(name: string, bytes: number): Buffer {
  const key = Buffer.from(sha256Hex(name), 'hex').subarray(0, 16);
  return createCipheriv('aes-128-ctr', key, Buffer.alloc(16)).update(Buffer.alloc(bytes));
}
