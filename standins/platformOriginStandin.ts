/** A stand-in for the platform's origin of weights: digests and pieces of made-up versions. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { RateLimiter } from '../src/utils/rateLimiter.js';
import type { WeightsShape } from './weightsFixture.js';
import { versionChunk, versionDigests } from './weightsFixture.js';

/** What the origin can be told to do wrong. */
export interface PlatformOriginFaults {
  /** Answers every call with this status. */
  status?: number;
  /** Never answers. */
  silent?: boolean;
  /** Share of pieces whose bytes are spoilt. */
  corruptShare?: number;
  /** Share of pieces that break off in the middle. */
  truncatedShare?: number;
}

/** The link of the origin. */
export interface OriginLink {
  /** 0 for no bound. */
  bytesPerSecond: number;
  /** Connections beyond this are reset. */
  maximumConnections: number;
}

const OPEN_LINK: OriginLink = { bytesPerSecond: 0, maximumConnections: 1_000 };
const BLOCK_BYTES = 4_096;

export class PlatformOriginStandin {
  faults: PlatformOriginFaults = {};
  /** Bytes of pieces that were sent. */
  bytesSent = 0;
  private readonly _shape: WeightsShape;
  private readonly _fraction: () => number;
  private readonly _limiter: RateLimiter;
  private _connections = 0;
  /** Connections that were reset. */
  resets = 0;
  private readonly _server = http.createServer((request, response) => this._serve(request, response));

  /** `fraction` draws from 0 up to 1. */
  constructor(shape: WeightsShape, fraction: () => number = () => 1, link: OriginLink = OPEN_LINK) {
    this._shape = shape;
    this._fraction = fraction;
    this._limiter = new RateLimiter(link.bytesPerSecond);
    // a connection whose other end is gone without a word stays, and counts
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

  /** Connections that are open, also those whose other end says nothing any more. */
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
    const { corruptShare: spoiltShare = 0, truncatedShare: brokenShare = 0 } = this.faults;
    if (this._fraction() < spoiltShare) bytes[0] ^= 1;
    const isBroken = this._fraction() < brokenShare;
    const end = isBroken ? bytes.length >> 1 : bytes.length;
    response.writeHead(200, { 'content-length': bytes.length });
    for (let start = 0; start < end && !response.destroyed; start += BLOCK_BYTES) {
      const block = bytes.subarray(start, Math.min(end, start + BLOCK_BYTES));
      await this._limiter.acquire(block.length);
      this.bytesSent += block.length;
      response.write(block);
    }
    if (isBroken) response.destroy();
    else response.end();
  }
}
