/**
 * Stand-in of a model runner that a harmful request ends, or a harmful part of a prompt: it is back after some seconds
 * under a new id, holds no layers then, and keeps its staged pieces. It loads what is staged when it gets an order.
 */
import http from 'node:http';
import { eventText, pause } from './runner.mjs';

const LAYERS = 16;
const LOAD_MILLISECONDS = 60;
/** From the moment at which a runner begins to run a harmful request until it ends. */
const CRASH_MILLISECONDS = 70;
/** A record lapses after three heartbeats. */
const LAPSE_MILLISECONDS = 3_600;

let starts = 0;

export class CrashingRunner {
  #server;
  #port = 0;
  #running = 0;
  #sequence = 0;
  #loading = false;
  #staged = new Map();

  /**
   * A request is harmful if its body contains the word, or one part of its prompt, but for
   * the last one, begins with `harmfulPart`.
   * `downMilliseconds` returns how long it stays away after a crash. `onCrash` is called when it ends, `onBegin` when it
   * begins a stream that isn't harmful.
   */
  constructor({
    host,
    service,
    zone,
    model,
    pieces,
    store,
    slots = 16,
    harmfulPart,
    downMilliseconds,
    onCrash,
    onBegin,
  }) {
    Object.assign(this, {
      host,
      service,
      zone,
      model,
      store,
      slots,
      harmfulPart,
      downMilliseconds,
      onCrash,
      onBegin,
    });
    this.version = 1;
    for (const [number, bytes] of pieces.entries()) this.#staged.set(number, bytes);
  }

  get address() {
    return `${this.host}:${this.#port}`;
  }

  async start() {
    this.id = `m-${++starts}`;
    this.born = Date.now();
    this.#sequence = 0;
    this.#running = 0;
    this.#server = http.createServer((request, response) => void this.#serve(request, response));
    this.#server.keepAliveTimeout = 20_000;
    await new Promise((resolve) => this.#server.listen(this.#port, this.host, resolve));
    this.#port = this.#server.address().port;
    this.isUp = true;
    this.#publish();
  }

  close() {
    this.isUp = false;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #publish() {
    this.store.put('servers', this.id, this.#record());
  }

  #record() {
    const { service, address, zone, slots, born } = this;
    const about = {
      service,
      address,
      zone,
      slots,
      born,
      state: 'ready',
      models: this.#models(),
      phase: 'unified',
    };
    return { ...about, version: 'v1', cold_left_ms: 0, seq_no: this.#sequence };
  }

  #models() {
    return this.version === 0 ? [] : [{ name: this.model, version: this.version, adapters: [] }];
  }

  async #serve(request, response) {
    const parts = [];
    for await (const part of request) parts.push(part);
    const body = Buffer.concat(parts);
    const url = new URL(request.url, 'http://runner');
    const [, call] = url.pathname.split('/');
    if (call === 'report') return sendJson(response, 200, this.#report());
    if (call === 'order') return this.#order(JSON.parse(body), response);
    if (call.startsWith('stage-'))
      return this.#stage(call, url.searchParams.get('item_count'), body, response);
    await this.#run(request, body.toString(), response);
  }

  #report() {
    const layers = { source: 0, target_version: LAYERS, version: this.version };
    const about = { phase: 'unified', models: this.#models(), ...(this.version > 0 && { layers }) };
    const counts = { queued: 0, active: this.#running, kv_in_use: 0, kv_size: 90_000, kv_handles: 0 };
    return { ...about, utilization: this.#loading, seq_no: this.#sequence, born: this.born, ...counts };
  }

  #stage(call, number, body, response) {
    if (number === null) return sendJson(response, 200, { held: [...this.#staged.keys()] });
    if (call === 'stage-put') this.#staged.set(Number(number), body);
    const bytes = this.#staged.get(Number(number));
    if (!bytes) return sendJson(response, 404, {});
    response.writeHead(200, { 'content-length': call === 'stage-get' ? bytes.length : 0 });
    response.end(call === 'stage-get' ? bytes : undefined);
  }

  #order({ operation, version, expected_rev: expected }, response) {
    if (operation !== 'start') return sendJson(response, 400, {});
    if (this.#loading || (expected !== undefined && expected !== this.#sequence))
      return sendJson(response, 409, {});
    if (version === this.version) return sendJson(response, 200, {});
    this.#sequence++;
    this.#loading = true;
    setTimeout(() => {
      this.#loading = false;
      this.version = version;
      if (this.isUp) this.#publish();
    }, LOAD_MILLISECONDS);
    sendJson(response, 202, {});
  }

  async #run(request, body, response) {
    const { headers } = request;
    const id = headers['x-attempt-id'] ?? '';
    const expected = Number(headers['x-expected-version'] ?? this.version);
    const target = headers['x-target-instance'] ?? this.id;
    if (target !== this.id || this.version === 0 || expected !== this.version)
      return reject(response, 421, id);
    if (this.#running >= this.slots || this.#loading) return reject(response, 503, id);
    this.#running++;
    response.once('close', () => this.#running--);
    if (body.includes('harmful')) return await this.#crash();
    const parts = String(headers['x-prefix-hash'] ?? '').split(',');
    if (this.harmfulPart && parts.slice(0, -1).some((part) => part.startsWith(this.harmfulPart))) {
      this.#beginAnswer(id, response);
      return await this.#crash();
    }
    this.onBegin?.(id);
    await this.#stream(id, headers, response);
  }

  /** Begins an answer that has neither a length nor chunks, and stops inside its first event. */
  #beginAnswer(id, response) {
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      'x-attempt-id': id,
      'x-server-seal': `seal.${this.id}.${id}`,
      connection: 'close',
    });
    response.write(eventText(1, 12).slice(0, -2));
  }

  async #crash() {
    await pause(CRASH_MILLISECONDS);
    if (!this.isUp) return;
    const ended = this.id;
    this.close();
    this.version = 0;
    this.#loading = false;
    this.onCrash(ended);
    setTimeout(() => this.store.remove('servers', ended), LAPSE_MILLISECONDS).unref();
    await pause(this.downMilliseconds());
    await this.start();
  }

  async #stream(id, headers, response) {
    const events = 12;
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    await pause(30);
    response.writeHead(200, {
      'x-attempt-id': id,
      'x-server-seal': `seal.${this.id}.${id}`,
      'x-weight-versions': String(this.version),
      'content-type': 'text/event-stream',
    });
    for (let event = first; event <= events && !response.destroyed; event++) {
      response.write(eventText(event, events));
      await pause(45);
    }
    response.end();
  }
}

function reject(response, status, id) {
  response.writeHead(status, { 'x-not-executed': '1', 'x-attempt-id': id, 'content-length': 0 }).end();
}

function sendJson(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
