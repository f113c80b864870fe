/** A server for control connections. */
import net from 'node:net';
import { errorText } from '../utils/stepError.js';
import type { ControlOptions } from './controlConnection.js';
import { ControlConnection } from './controlConnection.js';

/** Listens for control connections and passes each authenticated one to `onConnection`. */
export class ControlServer {
  private readonly _server: net.Server;
  private readonly _connections = new Set<ControlConnection>();

  constructor(
    options: ControlOptions,
    onConnection: (connection: ControlConnection) => void,
    onRefused: (reason: string) => void,
  ) {
    this._server = net.createServer((socket) => {
      ControlConnection.accept(socket, options).then(
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
  }

  private _add(connection: ControlConnection, onConnection: (connection: ControlConnection) => void): void {
    this._connections.add(connection);
    connection.once('close', () => this._connections.delete(connection));
    onConnection(connection);
  }
}
