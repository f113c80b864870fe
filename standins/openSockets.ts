/** The open connections of a server, which may be reset. */
import type net from 'node:net';
import type { Socket } from 'node:net';

const answerEnds = new WeakSet<Socket>();

/** Has a crash of the server reset this connection, since an end in order would make its answer complete. */
export function markAnswerEnd(socket: Socket | null): void {
  if (socket) answerEnds.add(socket);
}

export class OpenSockets {
  private readonly _sockets = new Set<Socket>();

  constructor(server: net.Server) {
    server.on('connection', (socket) => {
      this._sockets.add(socket);
      socket.once('close', () => this._sockets.delete(socket));
    });
  }

  resetAll(): void {
    for (const socket of this._sockets) reset(socket);
  }

  /** Resets the connections whose end would make an answer complete. */
  resetAnswerEnds(): void {
    for (const socket of this._sockets) if (answerEnds.has(socket)) reset(socket);
  }
}

function reset(socket: Socket): void {
  // Node never closes a socket that is reset while it is shutting down.
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
