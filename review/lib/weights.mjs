/** Weights of a model, generated from version and piece, and the stand-in of their origin. */
import http from 'node:http';
import { createCipheriv, createHash } from 'node:crypto';
import { sendJson } from './http.mjs';

export function sha256(bytes) {
  return createHash('sha256').update(bytes).digest('hex');
}

/** The pieces of each version differ from those of all others. */
export class Weights {
  constructor({ model, pieces, pieceBytes }) {
    this.model = model;
    this.pieces = pieces;
    this.pieceBytes = pieceBytes;
    this._digests = new Map();
  }

  piece(version, index) {
    const key = createHash('sha256').update(`${this.model}/${version}/${index}`).digest().subarray(0, 16);
    return createCipheriv('aes-128-ctr', key, Buffer.alloc(16)).update(Buffer.alloc(this.pieceBytes));
  }

  digests(version) {
    if (!this._digests.has(version)) {
      const indexes = Array.from({ length: this.pieces }, (_unused, index) => index);
      this._digests.set(
        version,
        indexes.map((index) => sha256(this.piece(version, index))),
      );
    }
    return this._digests.get(version);
  }
}

export class WeightsOrigin {
  constructor(weights) {
    this._weights = weights;
    this._server = http.createServer((request, response) => this._serve(request, response));
  }

  async listen(host, port) {
    await new Promise((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(port, host, resolve);
    });
  }

  close() {
    this._server.close();
    this._server.closeAllConnections();
  }

  _serve(request, response) {
    const url = new URL(request.url, 'http://origin');
    const [, call] = url.pathname.split('/');
    const version = Number(url.searchParams.get('version') ?? 1);
    const { model, pieceBytes } = this._weights;
    if (call === 'manifest') {
      const digests = this._weights.digests(version);
      return sendJson(response, 200, { model, version, chunk_bytes: pieceBytes, layers: 16, digests });
    }
    if (call !== 'piece') return sendJson(response, 404, {});
    const bytes = this._weights.piece(version, Number(url.searchParams.get('item_count')));
    response.writeHead(200, { 'content-length': bytes.length });
    response.end(bytes);
  }
}
