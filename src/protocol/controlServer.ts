/** A server for control connections. */
import net from 'node:net';
import { errorText } from '../utils/stepError.js';
import type { ControlOptions } from './controlConnection.js';
import { ControlConnection } from './controlConnection.js';

/** Default number of connections that may be in their handshake, which takes milliseconds from peers. */
const MAXIMUM_HANDSHAKES = 512;

/** Listens for control connections and passes each authenticated one to `onConnection`. */
export class ControlServer {
  private readonly _server: net.Server;
  private readonly _connections = new Set<ControlConnection>();
  /** Sockets of connections in their handshake, oldest first. */
  private readonly _handshakes = new Set<net.Socket>();
  private readonly _maximumHandshakes: number;

  /** With more than `maximumHandshakes` connections in their handshake, the oldest of these are closed. */
  constructor(
    options: ControlOptions,
    onConnection: (connection: ControlConnection) => void,
    onRefused: (reason: string) => void,
    maximumHandshakes = MAXIMUM_HANDSHAKES,
  ) {
    this._maximumHandshakes = maximumHandshakes;
    this._server = net.createServer((socket) => {
      this._addHandshake(socket);
      ControlConnection.accept(socket, options)
        .finally(() => this._handshakes.delete(socket))
        .then(
          (connection) => this._add(connection, onConnection),
          (error) => onRefused(errorText(error)),
        );
    });
  }

  /** Starts listening and returns the port. */
  async listen(address: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(port, address, resolve);
    });
    return (this._server.address() as net.AddressInfo).port;
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this._server.close();
    for (const connection of this._connections) connection.close('shutting down');
    for (const socket of this._handshakes) socket.destroy();
  }

  private _addHandshake(socket: net.Socket): void {
    this._handshakes.add(socket);
    if (this._handshakes.size <= this._maximumHandshakes) return;
    const [oldest] = this._handshakes;
    this._handshakes.delete(oldest);
    oldest.destroy();
  }

  private _add(connection: ControlConnection, onConnection: (connection: ControlConnection) => void): void {
    this._connections.add(connection);
    connection.once('close', () => this._connections.delete(connection));
    onConnection(connection);
  }
}
