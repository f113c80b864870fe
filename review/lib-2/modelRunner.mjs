/** Stand-in of the model runner beside an agent: it serves version 1, and tells its state and its staged pieces. */
import http from 'node:http';

export class ModelRunner {
  #server = http.createServer((request, response) => this.#serve(request, response));
  #born = Date.now();

  constructor({ id, service, zone, model, slots = 8 }) {
    Object.assign(this, { id, service, zone, model, slots });
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

  record(state = 'ready') {
    const { service, address, zone, slots } = this;
    const models = this.#models();
    const about = { service, address, zone, slots, state, models, phase: 'unified', born: this.#born };
    return { ...about, version: 'v1', cold_left_ms: 0, seq_no: 0 };
  }

  #models() {
    return [{ name: this.model, version: 1, adapters: [] }];
  }

  #serve(request, response) {
    request.resume();
    const { pathname } = new URL(request.url, 'http://runner');
    if (pathname === '/report') return answer(response, 200, this.#report());
    if (pathname.startsWith('/stage-get/')) return answer(response, 200, { held: [] });
    if (pathname === '/healthz') return response.writeHead(200, { 'x-instance-id': this.id }).end();
    answer(response, 404, {});
  }

  #report() {
    return {
      phase: 'unified',
      models: this.#models(),
      layers: { source: 0, target_version: 16, version: 1 },
      utilization: false,
      seq_no: 0,
      born: this.#born,
      queued: 0,
      active: 0,
      kv_in_use: 0,
      kv_size: 90_000,
      kv_handles: 0,
    };
  }
}

function answer(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
