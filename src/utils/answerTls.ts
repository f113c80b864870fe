/** Connections over TLS whose end completes no answer. */
import type { TLSSocket } from 'node:tls';
import { ConnectionClosedError, ConnectionResetError } from './answerSocket.js';
import { errorCode } from './stepError.js';

/** The peer has ended a connection over TLS; what it has carried may be incomplete. */
export class UnconfirmedEndError extends Error {
  readonly code = 'ERR_UNCONFIRMED_END';

  constructor() {
    super('an end over TLS does not show that an answer is complete; it needs a length or chunks');
  }
}

/**
 * Makes the socket report each end as an error, behind the last bytes. Node reports an end alike whether the peer has
 * confirmed it or anyone has closed the connection, so HTTP clients must not take it for the end of an answer.
 */
export function withoutEnds(socket: TLSSocket): TLSSocket {
  const push = socket.push.bind(socket);
  const read = socket.read.bind(socket);
  const destroy = socket.destroy.bind(socket);
  let hasEnded = false;
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (chunk !== null) return push(chunk, encoding);
    hasEnded = true;
    socket.emit('readable');
    return false;
  };
  socket.read = (size?: number) => {
    const bytes: unknown = read(size);
    if (bytes === null && size !== 0 && hasEnded) destroy(new UnconfirmedEndError());
    return bytes;
  };
  socket.destroy = (error?: Error) => destroy(failureOf(error));
  // Stays for good: an error that the client no longer listens for must not end the process.
  return socket.on('error', () => undefined);
}

/** HTTP clients take ECONNRESET, or no error at all, for the end of an answer that ends with its connection. */
function failureOf(error: Error | undefined): Error {
  if (!error) return new ConnectionClosedError();
  return errorCode(error) === 'ECONNRESET' ? new ConnectionResetError(error) : error;
}
