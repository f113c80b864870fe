/** Stand-in for a runner: requests, reports, orders and staged pieces, as PROTOCOL.md tells them. */
import http from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { readBody, sendJson } from './http.mjs';
import { sha256 } from './weights.mjs';

const LAYERS = 16;
/** `warm_s` of the model: the time that a start takes. */
const WARM_MILLISECONDS = 300;

/**
 * `weights` is undefined for a runner without a model. `streamOf(headers)` tells the events of a stream and the
 * pause between them, and whether the answer has chunks. Callbacks: `onRun`, `onCall(call, item)`, `onStart`.
 */
export class Runner {
  constructor({ id, service, weights, version = 0, slots = 16, streamOf, onRun, onCall, onStart }) {
    Object.assign(this, { id, service, slots, version });
    this._weights = weights;
    this._streamOf = streamOf;
    this._onRun = onRun ?? (() => undefined);
    this._onCall = onCall ?? (() => undefined);
    this._onStart = onStart ?? (() => undefined);
    this.staged = new Map();
    this._spoiltAt = new Map();
    this._active = 0;
    this._waiting = [];
    this._orders = 0;
    this._isStarting = false;
    this._awake = Promise.resolve();
    this._wake = () => undefined;
    /** Pieces that were spoilt or missing when the layers in service were taken, with the age of the damage. */
    this.badPieces = [];
    this._server = http.createServer((request, response) => void this._serve(request, response));
    this._server.keepAliveTimeout = 60_000;
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

  /** Stands still with its machine until {@link Runner.wake}: it answers and sends nothing. */
  standStill() {
    this._awake = new Promise((resolve) => (this._wake = resolve));
  }

  wake() {
    this._wake();
  }

  /** A staged piece turns bad. */
  spoil(piece) {
    const bytes = Buffer.from(this.staged.get(piece));
    bytes[0] ^= 1;
    this.staged.set(piece, bytes);
    this._spoiltAt.set(piece, Date.now());
  }

  /** Whether all pieces of `version` are staged whole. */
  hasStaged(version) {
    const digests = this._weights.digests(version);
    return digests.every((digest, piece) => {
      const bytes = this.staged.get(piece);
      return bytes !== undefined && sha256(bytes) === digest;
    });
  }

  record(address, zone, state = 'ready') {
    const { service, slots, _orders: seq_no } = this;
    const own = { service, address, zone, version: 'v1', slots, state, cold_left_ms: 0 };
    return { ...own, phase: 'unified', models: this._models(), seq_no };
  }

  _models() {
    if (!this._weights || this.version === 0) return [];
    const layers = [{ source: 0, target_version: LAYERS, version: this.version }];
    return [{ name: this._weights.model, version: this.version, adapters: [], layers }];
  }

  async _serve(request, response) {
    const body = await readBody(request).catch(() => undefined);
    if (body === undefined) return;
    await this._awake;
    const url = new URL(request.url, 'http://runner');
    const [, call] = url.pathname.split('/');
    const item = url.searchParams.get('item_count');
    if (call === 'report') {
      sendJson(response, 200, this._report());
      return this._onCall('report');
    }
    if (call === 'order') return this._order(JSON.parse(body), response);
    if (call === 'stage-put') {
      this.staged.set(Number(item), body);
      this._spoiltAt.delete(Number(item));
      this._onCall('put', Number(item));
      return void response.writeHead(200).end();
    }
    if (call === 'stage-get') return this._get(item, response);
    if (call === 'healthz') return void response.writeHead(200, { 'x-instance-id': this.id }).end();
    await this._request(request, response);
  }

  _report() {
    return {
      phase: 'unified',
      models: this._models(),
      utilization: this._isStarting,
      seq_no: this._orders,
      queued: this._waiting.length,
      active: this._active,
      kv_in_use: 0,
      kv_size: 685_000 * LAYERS,
      kv_handles: 0,
    };
  }

  _get(item, response) {
    if (item === null) return sendJson(response, 200, { held: [...this.staged.keys()] });
    const bytes = this.staged.get(Number(item));
    if (bytes) response.writeHead(200, { 'content-length': bytes.length }).end(bytes);
    else response.writeHead(404).end();
    this._onCall('get', Number(item));
  }

  _order({ operation, version, expected_rev: expected }, response) {
    if (operation !== 'start' || !this._weights) return sendJson(response, 400, {});
    if (expected !== undefined && expected !== this._orders) return sendJson(response, 409, {});
    if (this._isStarting) return sendJson(response, 409, {});
    if (version === this.version) return sendJson(response, 200, {});
    this._orders++;
    this._isStarting = true;
    const badPieces = this._findBadPieces(version);
    sendJson(response, 202, {});
    this._onStart(version, badPieces);
    void this._start(version, badPieces);
  }

  /** The pieces of `version` that are missing or spoilt now, and for how many milliseconds spoilt. */
  _findBadPieces(version) {
    return this._weights.digests(version).flatMap((digest, piece) => {
      const bytes = this.staged.get(piece);
      if (bytes && sha256(bytes) === digest) return [];
      const spoiltAt = this._spoiltAt.get(piece);
      return [{ piece, badFor: spoiltAt === undefined ? Infinity : Date.now() - spoiltAt }];
    });
  }

  async _start(version, badPieces) {
    while (this._active > 0) await pause(5);
    await pause(WARM_MILLISECONDS);
    this.version = version;
    this.badPieces = badPieces;
    this._isStarting = false;
  }

  async _request(request, response) {
    const { headers } = request;
    const id = String(headers['x-attempt-id'] ?? '');
    const rejected = this._rejection(headers);
    if (rejected) {
      response.writeHead(rejected, { 'x-not-executed': '1', 'x-attempt-id': id, 'content-length': 0 });
      return void response.end();
    }
    if (this._active >= this.slots) await new Promise((resolve) => this._waiting.push(resolve));
    if (response.destroyed) return this._waiting.shift()?.();
    this._active++;
    this._onRun({ id, runner: this.id, service: this.service, customer: headers['x-tenant'] });
    try {
      await this._answer(headers, response, id);
    } finally {
      this._active--;
      this._waiting.shift()?.();
    }
  }

  /** The status with which a request is turned away; 0 if it is taken. */
  _rejection(headers) {
    if ((headers['x-target-instance'] ?? this.id) !== this.id) return 421;
    if (!this._weights) return 0;
    const expected = Number(headers['x-expected-version'] ?? this.version);
    if (this.version === 0 || expected !== this.version) return 421;
    const isFull = this._active + this._waiting.length >= this.slots * 2;
    return this._isStarting || isFull ? 503 : 0;
  }

  async _answer(headers, response, id) {
    const own = { 'x-attempt-id': id, 'x-server-seal': `seal-of-${id}` };
    if (!this._weights) {
      await pause(20);
      const text = `${this.service} answers ${id}`;
      return void response.writeHead(200, { ...own, 'content-length': text.length }).end(text);
    }
    const { events, firstMilliseconds, pauseMilliseconds, isFramed } = this._streamOf(headers);
    await pause(firstMilliseconds);
    if (!isFramed) response.useChunkedEncodingByDefault = false;
    const type = { 'content-type': 'text/event-stream', 'x-weight-versions': String(this.version) };
    response.writeHead(200, { ...own, ...type, ...(isFramed ? {} : { connection: 'close' }) });
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= events && !response.destroyed; event++) {
      response.write(`id: ${event}\ndata: ${id} ${event} of ${events}\n\n`);
      this._onCall('event', { id, event, badPieces: this.badPieces });
      if (event < events) await pause(pauseMilliseconds);
      await this._awake;
    }
    response.end();
  }
}
