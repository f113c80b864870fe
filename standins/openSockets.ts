/** The open connections of a server, which may be reset all at once. */
import type net from 'node:net';
import type { Socket } from 'node:net';

export class OpenSockets {
  private readonly _sockets = new Set<Socket>();

  constructor(server: net.Server) {
    server.on('connection', (socket) => {
      this._sockets.add(socket);
      socket.once('close', () => this._sockets.delete(socket));
    });
  }

  resetAll(): void {
    for (const socket of this._sockets) {
      // Node never closes a socket that is reset while it is shutting down.
      if (socket.writableEnded) socket.destroy();
      else socket.resetAndDestroy();
    }
  }
}
