/** A TCP proxy on loopback that harms what passes through it, from outside the processes at both ends. */
import net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { splitAddress } from '../src/utils/hostPort.js';

/**
 * `pass`: all goes through. `delay`: late. `reset`: connections are reset. `deaf`: nothing goes from the client to the
 * server. `mute`: nothing comes back. `silent`: neither way, and nothing is closed.
 */
export type ProxyMode = 'pass' | 'delay' | 'reset' | 'deaf' | 'mute' | 'silent';

const DELAY_MILLISECONDS = 250;

/** The two ends of one connection. */
interface ProxiedConnection {
  client: Socket;
  server: Socket;
}

export class LoopbackProxy {
  private readonly _target: string;
  private readonly _connections = new Set<ProxiedConnection>();
  private readonly _abandoned: Socket[] = [];
  private readonly _server = net.createServer((client) => this._accept(client));
  private _mode: ProxyMode = 'pass';

  /** `target` is host:port. */
  constructor(target: string) {
    this._target = target;
  }

  get mode(): ProxyMode {
    return this._mode;
  }

  get isListening(): boolean {
    return this._server.listening;
  }

  /** Starts listening and returns host:port. */
  async listen(host: string, port: number): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(port, host, resolve);
    });
    return `${host}:${(this._server.address() as AddressInfo).port}`;
  }

  /** Holds for open and new connections; what was held up goes on when all passes again. */
  setMode(mode: ProxyMode): void {
    this._mode = mode;
    for (const pair of this._connections) this._apply(pair);
  }

  /**
   * Leaves all connections open at the server for good and says nothing on them any more, as a client that has lost its power. New
   * ones pass.
   */
  abandon(): void {
    for (const { client, server } of this._connections) {
      for (const socket of [client, server]) socket.removeAllListeners().on('error', () => undefined);
      server.pause();
      client.destroy();
      this._abandoned.push(server);
    }
    this._connections.clear();
  }

  /** Refuses connections from now on, as a port where nobody listens; {@link LoopbackProxy.listen} may follow. */
  close(): void {
    this._server.close();
    for (const pair of this._connections) resetConnection(pair);
    for (const server of this._abandoned) server.destroy();
  }

  private _accept(client: Socket): void {
    if (this._mode === 'reset') return void client.resetAndDestroy();
    const [host, port] = splitAddress(this._target);
    const server = net.connect({ host, port, allowHalfOpen: true });
    const pair = { client, server };
    this._connections.add(pair);
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on('error', () => resetConnection(pair));
      socket.once('close', () => {
        this._connections.delete(pair);
        resetConnection(pair);
      });
    }
    this._forward(client, server);
    this._forward(server, client);
    this._apply(pair);
  }

  private _forward(from: Socket, to: Socket): void {
    from.on('data', (bytes: Buffer) => {
      if (this._mode !== 'delay') return void to.write(bytes);
      setTimeout(() => to.writable && to.write(bytes), DELAY_MILLISECONDS);
    });
    from.on('end', () => {
      const wait = this._mode === 'delay' ? DELAY_MILLISECONDS : 0;
      setTimeout(() => to.writable && to.end(), wait);
    });
  }

  private _apply(pair: ProxiedConnection): void {
    if (this._mode === 'reset') return resetConnection(pair);
    setPaused(pair.client, this._mode === 'deaf' || this._mode === 'silent');
    setPaused(pair.server, this._mode === 'mute' || this._mode === 'silent');
  }
}

function setPaused(socket: Socket, held: boolean): void {
  if (held) socket.pause();
  else socket.resume();
}

function resetConnection({ client, server }: ProxiedConnection): void {
  for (const socket of [client, server]) {
    // a socket that is shutting down cannot be reset: Node would never close it, and never end
    if (socket.writableEnded) socket.destroy();
    else if (!socket.destroyed) socket.resetAndDestroy();
  }
}
