/** A stand-in for the platform's origin of weights: digests and pieces of made-up versions. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { WeightsShape } from './weightsFixture.js';
import { versionChunk, versionDigests } from './weightsFixture.js';

/** What the origin can be told to do wrong. */
export interface PlatformOriginFaults {
  /** Answers every call with this status. */
  status?: number;
  /** Never answers. */
  silent?: boolean;
  /** Share of pieces whose bytes are spoilt. */
  spoiltShare?: number;
  /** Share of pieces that break off in the middle. */
  brokenShare?: number;
}

export class PlatformOriginStandin {
  faults: PlatformOriginFaults = {};
  /** Bytes of pieces that were sent. */
  bytesSent = 0;
  private readonly _shape: WeightsShape;
  private readonly _fraction: () => number;
  private readonly _server = http.createServer((request, response) => this._serve(request, response));

  /** `fraction` draws from 0 up to 1. */
  constructor(shape: WeightsShape, fraction: () => number = () => 1) {
    this._shape = shape;
    this._fraction = fraction;
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
    if (call === 'piece')
      return this._sendPiece(version, Number(url.searchParams.get('item_count')), response);
    response.writeHead(404).end();
  }

  private _sendDigests(version: number, response: http.ServerResponse): void {
    const { model, chunkBytes } = this._shape;
    const digests = versionDigests(this._shape, version);
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ model, version, chunk_bytes: chunkBytes, layers: 4, digests }));
  }

  private _sendPiece(version: number, piece: number, response: http.ServerResponse): void {
    const bytes = versionChunk(this._shape, version, piece);
    const { spoiltShare = 0, brokenShare = 0 } = this.faults;
    if (this._fraction() < spoiltShare) bytes[0] ^= 1;
    this.bytesSent += bytes.length;
    response.writeHead(200, { 'content-length': bytes.length });
    if (this._fraction() >= brokenShare) return void response.end(bytes);
    response.write(bytes.subarray(0, bytes.length >> 1), () => response.destroy());
  }
}
