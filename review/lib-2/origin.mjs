/** Stand-in of the origin of weights: the digests and the pieces of any version of one model. */
import { createHash } from 'node:crypto';
import http from 'node:http';

const PIECES = 12;
const PIECE_BYTES = 4_096;

/** The pieces of a version. */
export function piecesOf(version) {
  return Array.from({ length: PIECES }, (_, piece) => Buffer.alloc(PIECE_BYTES, `${version}-${piece} `));
}

export class Origin {
  #server = http.createServer((request, response) => this.#serve(request, response));

  async listen(host) {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    return `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #serve(request, response) {
    const url = new URL(request.url, 'http://origin');
    const [, call, model] = url.pathname.split('/');
    const version = Number(url.searchParams.get('version') ?? 1);
    const pieces = piecesOf(version);
    if (call === 'piece') {
      const bytes = pieces[Number(url.searchParams.get('item_count'))];
      return response.writeHead(200, { 'content-length': bytes.length }).end(bytes);
    }
    const digests = pieces.map((bytes) => createHash('sha256').update(bytes).digest('hex'));
    const text = JSON.stringify({ model, version, chunk_bytes: PIECE_BYTES, layers: 16, digests });
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': text.length }).end(text);
  }
}
