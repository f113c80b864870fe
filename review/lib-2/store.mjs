/**
 * Stand-in of the platform's metadata store: lists, stale lists, watches and conditional writes, as the page PROTOCOL
 * describes them. It keeps its whole history.
 */
import http from 'node:http';

const KIND_PATH = /^\/objects\/([^/?]+)(?:\/([^/?]+))?$/;
const ANSWER_MILLISECONDS = 4;

export class Store {
  /** Number of calls so far, by `METHOD kind`. */
  calls = new Map();
  #objects = new Map();
  #history = [];
  #revision = 0;
  #waiting = new Set();
  #server = http.createServer((request, response) => this.#serve(request, response));

  /** Listens on a free port of `host`; returns host:port. */
  async listen(host) {
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    return `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object as the operator or a runner does. Returns when the store has accepted it, in Unix milliseconds. */
  put(kind, name, spec) {
    this.#revision++;
    const object = { kind, name, spec, revision: this.#revision, gone: false };
    this.#objects.set(`${kind}/${name}`, object);
    this.#change(object);
    return Date.now();
  }

  remove(kind, name) {
    const object = this.#objects.get(`${kind}/${name}`);
    if (!object) return;
    this.#revision++;
    this.#objects.delete(`${kind}/${name}`);
    this.#change({ ...object, revision: this.#revision, gone: true });
  }

  #change(object) {
    this.#history.push(object);
    for (const wake of [...this.#waiting]) wake();
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, kind, name] = KIND_PATH.exec(url.pathname) ?? [];
    const call = `${request.method} ${kind}`;
    this.calls.set(call, (this.calls.get(call) ?? 0) + 1);
    const parts = [];
    for await (const part of request) parts.push(part);
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MILLISECONDS));
    if (!kind) return answer(response, 404, {});
    if (request.method !== 'GET') return this.#write(request.method, kind, name, url, parts, response);
    if (name !== undefined) return this.#read(kind, decodeURIComponent(name), response);
    if (url.searchParams.has('watch')) return await this.#watch(kind, url.searchParams, response);
    const all = [...this.#objects.values()].filter((object) => object.kind === kind);
    answer(response, 200, { entries: all.map(toWire), more: false, at: this.#revision });
  }

  #read(kind, name, response) {
    const object = this.#objects.get(`${kind}/${name}`);
    if (object) answer(response, 200, toWire(object));
    else answer(response, 404, {});
  }

  #write(method, kind, named, url, parts, response) {
    const body = parts.length > 0 ? JSON.parse(Buffer.concat(parts).toString()) : {};
    const name = named === undefined ? body.metadata?.name : decodeURIComponent(named);
    const known = this.#objects.get(`${kind}/${name}`);
    if (method === 'POST' && known) return answer(response, 409, toWire(known));
    if (method !== 'POST') {
      const expected = Number(body.metadata?.revision ?? url.searchParams.get('revision') ?? 0);
      if (!known) return answer(response, 404, {});
      if (expected > 0 && expected !== known.revision) return answer(response, 409, toWire(known));
    }
    if (method === 'DELETE') this.remove(kind, name);
    else this.put(kind, name, body.spec);
    const written = this.#objects.get(`${kind}/${name}`) ?? known;
    answer(response, method === 'POST' ? 201 : 200, toWire({ ...written, revision: this.#revision }));
  }

  async #watch(kind, query, response) {
    const after = Number(query.get('watch'));
    const changes = () => this.#history.filter((object) => object.kind === kind && object.revision > after);
    const endsAt = Date.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    while (changes().length === 0 && Date.now() < endsAt && !response.destroyed)
      await this.#nextChange(endsAt - Date.now());
    const events = changes().map((object) => ({ object: toWire(object), gone: object.gone }));
    answer(response, 200, { events, at: this.#revision });
  }

  async #nextChange(milliseconds) {
    await new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      timer.unref();
      this.#waiting.add(wake);
    });
  }
}

function toWire({ name, revision, spec }) {
  return { metadata: { name, revision, made: 0, finalizers: [], deleting: false }, spec, status: null };
}

function answer(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    'store-era': '0',
  });
  response.end(text);
}
