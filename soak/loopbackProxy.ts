/** A TCP proxy on loopback that injects link faults between two processes without changing either. */
import net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { AnswerSocket } from '../src/utils/answerSocket.js';
import { splitAddress } from '../src/utils/hostPort.js';

/**
 * `pass`: forwards all data. `delay`: forwards all data late. `reset`: resets connections. `stall-requests`: holds
 * back data from the client to the server. `stall-answers`: holds back data from the server to the client. `stall`:
 * holds back data both ways and closes nothing.
 */
export type ProxyMode = 'pass' | 'delay' | 'reset' | 'stall-requests' | 'stall-answers' | 'stall';

const DELAY_MILLISECONDS = 250;

/** The sockets to the client and to the server of one proxied connection. */
interface ProxiedConnection {
  client: Socket;
  server: Socket;
}

/** Forwards connections to one target. */
export class LoopbackProxy {
  private readonly _target: string;
  private readonly _connections = new Set<ProxiedConnection>();
  private readonly _abandoned: Socket[] = [];
  private readonly _server = net.createServer((client) => this._accept(client));
  private _mode: ProxyMode = 'pass';

  /** Forwards to `target`, host:port. */
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

  /** Sets the mode of open and new connections. Held back data is forwarded once the mode allows it. */
  setMode(mode: ProxyMode): void {
    this._mode = mode;
    for (const connection of this._connections) this._apply(connection);
  }

  /**
   * Drops the client side of all connections and keeps the server side open and silent, as when the client's
   * machine loses power. New connections are not affected.
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

  /**
   * Stops listening and closes all connections, abandoned ones too. {@link LoopbackProxy.listen} may be called
   * again.
   */
  close(): void {
    this._server.close();
    for (const connection of this._connections) resetConnection(connection);
    for (const server of this._abandoned) server.destroy();
  }

  private _accept(client: Socket): void {
    if (this._mode === 'reset') return void client.resetAndDestroy();
    const [host, port] = splitAddress(this._target);
    const server = new AnswerSocket({ allowHalfOpen: true });
    server.connect({ host, port });
    const connection = { client, server };
    this._connections.add(connection);
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on('error', () => resetConnection(connection));
      socket.once('close', () => {
        this._connections.delete(connection);
        resetConnection(connection);
      });
    }
    this._forward(client, server);
    this._forward(server, client);
    this._apply(connection);
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

  private _apply(connection: ProxiedConnection): void {
    if (this._mode === 'reset') return resetConnection(connection);
    setPaused(connection.client, this._mode === 'stall-requests' || this._mode === 'stall');
    setPaused(connection.server, this._mode === 'stall-answers' || this._mode === 'stall');
  }
}

function setPaused(socket: Socket, paused: boolean): void {
  if (paused) socket.pause();
  else socket.resume();
}

function resetConnection({ client, server }: ProxiedConnection): void {
  for (const socket of [client, server]) {
    // Node never closes a socket that is reset while it is shutting down, which keeps the process from exiting.
    if (socket.writableEnded) socket.destroy();
    else if (!socket.destroyed) socket.resetAndDestroy();
  }
}
