/** A stand-in for an agent that only sends statuses, so that a bench needs no process for it. */
import { ControlConnection } from '../src/protocol/controlConnection.js';
import { ControlServer } from '../src/protocol/controlServer.js';
import type { PlatformStoreStandin } from '../standins/platformStoreStandin.js';
import { MODEL, MODEL_SERVICE } from '../soak/soakConfiguration.js';
import { ZONES } from '../soak/soakBounds.js';
import { SHARED_KEY } from '../soak/soakFleet.js';
import { PORTS } from '../soak/soakPorts.js';

const PEER_TIMEOUT_MILLISECONDS = 2_000;

export class StatusSource {
  private readonly _host: string;
  private readonly _index: number;
  private readonly _zone: string;
  private readonly _server: ControlServer;
  private readonly _connections = new Set<ControlConnection>();
  private _running = 0;

  /** `network` is the second octet of the fleet's addresses. */
  constructor(network: number, index: number) {
    this._host = `127.${network}.3.${index + 1}`;
    this._index = index;
    this._zone = ZONES[index % ZONES.length];
    const box = this._host.replaceAll('.', '-');
    const identity = { role: 'agent', box, dataCentre: this._zone } as const;
    this._server = new ControlServer(
      { key: SHARED_KEY, identity, peerTimeoutMilliseconds: PEER_TIMEOUT_MILLISECONDS },
      (connection) => this._accept(connection),
      () => undefined,
    );
  }

  /** Listens, and publishes a server, by which the entries find this agent. */
  async start(store: PlatformStoreStandin): Promise<void> {
    await this._server.listen(this._host, PORTS.rangeStart);
    store.put('servers', `s-${this._index}`, {
      service: MODEL_SERVICE,
      address: `${this._host}:${PORTS.proxied}`,
      zone: this._zone,
      slots: 8,
      state: 'ready',
      version: 'v1',
      cold_left_ms: 0,
      seq_no: 1,
      born: 1,
      models: [{ name: MODEL, version: 1, layers: [] }],
    });
  }

  /** Sends a status with another load to all entries at each interval, until the returned function is called. */
  sendEvery(milliseconds: number): () => void {
    const timer = setInterval(() => this._send(), milliseconds);
    return () => clearInterval(timer);
  }

  close(): void {
    this._server.close();
  }

  private _accept(connection: ControlConnection): void {
    if (connection.peer.role === 'entry') {
      this._connections.add(connection);
      connection.once('close', () => this._connections.delete(connection));
    }
    connection.start();
  }

  private _send(): void {
    this._running = (this._running + 1) % 8;
    ControlConnection.broadcast(this._connections, {
      type: 'box-status',
      state: 'serving',
      model: MODEL,
      version: 1,
      running: this._running,
      queued: 0,
      slowLink: false,
      startedAt: 1,
    });
  }
}
