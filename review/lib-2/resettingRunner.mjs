/**
 * Stand-in of a runner some of whose answers have neither a length nor chunks. Such an answer ends with its connection,
 * and the runner resets the connection before it has sent all of the body.
 */
import http from 'node:http';
import { pause } from './runner.mjs';

export class ResettingRunner {
  #server = http.createServer((request, response) => void this.#serve(request, response));
  #answers = 0;

  /**
   * One of `resetEvery` answers is reset, or none while that is 0. `onAnswer` is called with what the runner means to
   * send: `body`, and `sentBytes`, less than all if it resets the answer.
   */
  constructor({ id, service, zone, bodyBytes, workMilliseconds = 20, slots = 40, onAnswer }) {
    Object.assign(this, { id, service, zone, bodyBytes, workMilliseconds, slots, onAnswer });
    this.resetEvery = 0;
    this.born = Date.now();
  }

  async listen(host) {
    this.#server.keepAliveTimeout = 20_000;
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  record() {
    const { service, address, zone, slots, born } = this;
    return { service, address, zone, slots, born, state: 'ready', version: 'v1', cold_left_ms: 0, seq_no: 0 };
  }

  async #serve(request, response) {
    request.resume();
    const id = request.headers['x-attempt-id'] ?? '';
    const target = request.headers['x-target-instance'];
    if (target !== undefined && target !== this.id) {
      const head = { 'x-not-executed': '1', 'x-attempt-id': id, 'content-length': 0 };
      return response.writeHead(421, head).end();
    }
    const body = `${this.id} answers ${id}: `.padEnd(this.bodyBytes, 'all is well; ') + 'end';
    const isReset = this.resetEvery > 0 && ++this.#answers % this.resetEvery === 0;
    const sentBytes = isReset ? body.length >> 1 : body.length;
    this.onAnswer({ id, runner: this.id, body, sentBytes });
    await pause(this.workMilliseconds);
    const head = { 'x-attempt-id': id, 'x-server-seal': `seal.${this.id}.${id}` };
    if (!isReset) return response.writeHead(200, { ...head, 'content-length': body.length }).end(body);
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, { ...head, connection: 'close' });
    const { socket } = response;
    response.write(body.slice(0, sentBytes), () => socket.resetAndDestroy());
  }
}
