/** Stand-in for the platform's metadata store: lists, watches, and writes with revisions, as PROTOCOL.md tells them. */
import http from 'node:http';
import { readBody, sendJson } from './http.mjs';

export class MetadataStore {
  constructor() {
    this._objects = new Map();
    this._events = [];
    this._watchers = new Set();
    this._revision = 1;
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

  /** Creates or replaces an object; what it writes is acknowledged when this returns. */
  put(kind, name, spec) {
    const former = this._objects.get(`${kind}/${name}`);
    if (former && JSON.stringify(former.spec) === JSON.stringify(spec)) return former;
    return this._change(kind, name, spec, false);
  }

  remove(kind, name) {
    if (this._objects.has(`${kind}/${name}`)) this._change(kind, name, null, true);
  }

  _change(kind, name, spec, gone) {
    this._revision++;
    const object = { kind, name, spec, revision: this._revision };
    if (gone) this._objects.delete(`${kind}/${name}`);
    else this._objects.set(`${kind}/${name}`, object);
    this._events.push({ kind, gone, object });
    for (const notify of [...this._watchers]) notify();
    return object;
  }

  async _serve(request, response) {
    const body = await readBody(request).catch(() => undefined);
    if (body === undefined) return;
    const url = new URL(request.url, 'http://store');
    const [, root, kind, name] = url.pathname.split('/');
    if (root !== 'objects' || !kind) return sendJson(response, 404, {});
    if (request.method !== 'GET') return this._write(request.method, kind, name, url, body, response);
    if (name) return this._sendOne(kind, decodeURIComponent(name), response);
    const watch = url.searchParams.get('watch');
    if (watch === null) return this._list(kind, response);
    await this._watch(kind, Number(watch), Number(url.searchParams.get('wait_ms')), response);
  }

  _sendOne(kind, name, response) {
    const object = this._objects.get(`${kind}/${name}`);
    if (object) sendJson(response, 200, toWire(object));
    else sendJson(response, 404, {});
  }

  _list(kind, response) {
    const entries = [...this._objects.values()].filter((object) => object.kind === kind).map(toWire);
    sendJson(response, 200, { entries, more: false, at: this._revision });
  }

  async _watch(kind, after, waitMilliseconds, response) {
    const found = () => this._events.filter((event) => event.kind === kind && event.object.revision > after);
    if (found().length === 0) await this._nextChange(kind, waitMilliseconds, response);
    const events = found().map(({ gone, object }) => ({ gone, object: toWire(object) }));
    sendJson(response, 200, { events, at: this._revision });
  }

  async _nextChange(kind, waitMilliseconds, response) {
    const isChanged = () => this._events.at(-1)?.kind === kind;
    await new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this._watchers.delete(notify);
        resolve();
      };
      const notify = () => isChanged() && end();
      const timer = setTimeout(end, waitMilliseconds);
      response.once('close', end);
      this._watchers.add(notify);
    });
  }

  _write(method, kind, name, url, body, response) {
    const { metadata = {}, spec } = body.length > 0 ? JSON.parse(body) : {};
    const key = name ? decodeURIComponent(name) : metadata.name;
    const current = this._objects.get(`${kind}/${key}`);
    if (method === 'POST' && current) return sendJson(response, 409, toWire(current));
    if (method !== 'POST' && !current) return sendJson(response, 404, {});
    const expected = metadata.revision || Number(url.searchParams.get('revision'));
    if (current && expected > 0 && expected !== current.revision)
      return sendJson(response, 409, toWire(current));
    if (method === 'DELETE') {
      this.remove(kind, key);
      return sendJson(response, 200, {});
    }
    sendJson(response, 200, toWire(this.put(kind, key, spec)));
  }
}

function toWire({ name, revision, spec }) {
  return {
    metadata: { name, revision, made: revision, finalizers: [], deleting: false },
    spec,
    status: null,
  };
}
