/** Stand-in for the platform's origin of weights: digests and pieces of generated versions. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { RateLimiter } from '../src/utils/rateLimiter.js';
import type { WeightsShape } from './weightsFixture.js';
import { versionChunk, versionDigests } from './weightsFixture.js';

/** Faults that can be injected. */
export interface PlatformOriginFaults {
  /** Answers every call with this status. */
  status?: number;
  /** Never answers. */
  silent?: boolean;
  /** Share of pieces with corrupt data. */
  corruptShare?: number;
  /** Share of pieces whose connection is closed half way. */
  truncatedShare?: number;
}

/** Faults that are injected one at a time. */
export const ORIGIN_FAULTS: readonly PlatformOriginFaults[] = [
  { status: 503 },
  { silent: true },
  { corruptShare: 0.3 },
  { truncatedShare: 0.3 },
];

/** Limits of the origin's network link. */
export interface OriginLink {
  /** 0 for unlimited. */
  bytesPerSecond: number;
  /** Further connections are reset. */
  maximumConnections: number;
}

const DEFAULT_LINK: OriginLink = { bytesPerSecond: 0, maximumConnections: 1_000 };
const BLOCK_BYTES = 4_096;

/** Serves `/manifest/{model}` and `/piece/{model}` over HTTP. */
export class PlatformOriginStandin {
  faults: PlatformOriginFaults = {};
  /** Number of bytes of pieces sent so far. */
  bytesSent = 0;
  private readonly _shape: WeightsShape;
  private readonly _fraction: () => number;
  private readonly _limiter: RateLimiter;
  private _connections = 0;
  /** Number of connections that were reset due to the limit. */
  resets = 0;
  private readonly _server = http.createServer((request, response) => this._serve(request, response));

  /** `fraction` returns a random number from 0 to 1. */
  constructor(shape: WeightsShape, fraction: () => number = () => 1, link: OriginLink = DEFAULT_LINK) {
    this._shape = shape;
    this._fraction = fraction;
    this._limiter = new RateLimiter(link.bytesPerSecond);
    // no idle timeout: a connection whose peer disappeared without closing it stays open and counts
    this._server.keepAliveTimeout = 0;
    this._server.on('connection', (socket) => {
      if (this._connections >= link.maximumConnections) {
        this.resets++;
        socket.resetAndDestroy();
        return;
      }
      this._connections++;
      socket.once('close', () => this._connections--);
    });
  }

  /** Number of open connections, including those whose peer no longer responds. */
  get connections(): number {
    return this._connections;
  }

  /** Starts listening and returns host:port. */
  async listen(host = '127.0.0.1'): Promise<string> {
    await new Promise<void>((resolve) => this._server.listen(0, host, resolve));
    return `${host}:${(this._server.address() as AddressInfo).port}`;
  }

  close(): void {
    this._server.close();
    this._server.closeAllConnections();
  }

  private _serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (this.faults.silent) return;
    if (this.faults.status) return void response.writeHead(this.faults.status).end();
    const url = new URL(request.url ?? '/', 'http://origin');
    const [, call] = url.pathname.split('/');
    const version = Number(url.searchParams.get('version') ?? 1);
    if (call === 'manifest') return this._sendDigests(version, response);
    const piece = Number(url.searchParams.get('item_count'));
    if (call === 'piece') return void this._sendPiece(version, piece, response);
    response.writeHead(404).end();
  }

  private _sendDigests(version: number, response: http.ServerResponse): void {
    const { model, chunkBytes } = this._shape;
    const digests = versionDigests(this._shape, version);
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ model, version, chunk_bytes: chunkBytes, layers: 4, digests }));
  }

  private async _sendPiece(version: number, piece: number, response: http.ServerResponse): Promise<void> {
    const bytes = versionChunk(this._shape, version, piece);
    const { corruptShare = 0, truncatedShare = 0 } = this.faults;
    if (this._fraction() < corruptShare) bytes[0] ^= 1;
    const isTruncated = this._fraction() < truncatedShare;
    const end = isTruncated ? bytes.length >> 1 : bytes.length;
    response.writeHead(200, { 'content-length': bytes.length });
    for (let start = 0; start < end && !response.destroyed; start += BLOCK_BYTES) {
      const block = bytes.subarray(start, Math.min(end, start + BLOCK_BYTES));
      await this._limiter.acquire(block.length);
      this.bytesSent += block.length;
      response.write(block);
    }
    if (isTruncated) response.destroy();
    else response.end();
  }
}
