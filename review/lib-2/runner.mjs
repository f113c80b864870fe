/**
 * Stand-in of a runner without a model: runs up to `slots` requests at once and answers with its seal. A request for a
 * path with `stream` in it gets a series of events.
 */
import http from 'node:http';

export class Runner {
  #server = http.createServer((request, response) => void this.#serve(request, response));
  #running = 0;

  /**
   * `onRun` is called when a request starts to run, and `onSent` when its whole answer has been sent. `streamShape`
   * returns the events of a stream, their pause, whether the answer is `unframed`: neither a length nor chunks, so that
   * it ends with its connection, and whether it `closes` the connection after the answer, and says so in its head.
   */
  constructor({ id, service, zone, slots = 8, workMilliseconds = 20, onRun, onSent, streamShape }) {
    Object.assign(this, { id, service, zone, slots, workMilliseconds, onRun, onSent, streamShape });
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

  /** What the runner writes about itself to the store. */
  record(state = 'ready') {
    const { service, address, zone, slots, born } = this;
    return { service, address, zone, slots, born, state, version: 'v1', cold_left_ms: 0, seq_no: 0 };
  }

  async #serve(request, response) {
    const parts = [];
    for await (const part of request) parts.push(part);
    const { headers, url } = request;
    const id = headers['x-attempt-id'] ?? '';
    if (url === '/healthz') return response.writeHead(200, { 'x-instance-id': this.id }).end();
    const target = headers['x-target-instance'];
    if (target !== undefined && target !== this.id) return reject(response, 421, id);
    if (this.#running >= this.slots) return reject(response, 503, id);
    this.#running++;
    this.onRun?.({ id, runner: this.id, service: this.service, tenant: headers['x-tenant'] ?? '', url });
    try {
      if (url.includes('stream')) await this.#stream(id, headers, response);
      else await this.#answer(id, response);
    } finally {
      this.#running--;
    }
  }

  async #answer(id, response) {
    await pause(this.workMilliseconds);
    const body = `answer of ${this.id} to ${id}`;
    response.writeHead(200, { ...own(this, id), 'content-length': Buffer.byteLength(body) });
    response.end(body);
  }

  async #stream(id, headers, response) {
    const { events, pauseMilliseconds, unframed, closes } = this.streamShape();
    const head = { ...own(this, id), 'content-type': 'text/event-stream' };
    if (unframed) {
      response.useChunkedEncodingByDefault = false;
      head.connection = 'close';
    }
    if (closes) head.connection = 'close';
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    await pause(this.workMilliseconds);
    response.writeHead(200, head);
    for (let event = first; event <= events && !response.destroyed; event++) {
      response.write(eventText(event, events));
      await pause(pauseMilliseconds);
    }
    if (!response.destroyed) response.end(() => this.onSent?.(id));
  }
}

/** The text of an event; it tells how many events the stream has. */
export function eventText(event, events) {
  return `id: ${event}\ndata: piece ${event} of ${events}\n\n`;
}

function own({ id: runner }, id) {
  return { 'x-attempt-id': id, 'x-server-seal': `seal.${runner}.${id}` };
}

function reject(response, status, id) {
  response.writeHead(status, { 'x-not-executed': '1', 'x-attempt-id': id, 'content-length': 0 }).end();
}

export async function pause(milliseconds) {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}
