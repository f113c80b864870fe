/** Opens the connections of all HTTP clients of this process, so that incomplete answers fail in all of them. */
import type { TLSSocket } from 'node:tls';
import { buildConnector, errors } from 'undici';
import { AnswerSocket } from './answerSocket.js';
import { withoutEnds } from './answerTls.js';

const DEFAULT_TIMEOUT_MILLISECONDS = 10_000;

/**
 * Returns the `connect` option of an undici client. Connecting fails with ConnectTimeoutError after
 * `timeoutMilliseconds`. Over TLS, which `tls` describes, an answer needs a length or chunks.
 */
export function answerConnector(
  timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS,
  tls: buildConnector.BuildOptions = {},
): buildConnector.connector {
  const connectSecurely = buildConnector({ ...tls, timeout: timeoutMilliseconds });
  return (options, callback) => {
    if (options.protocol === 'https:')
      return connectSecurely(options, (...[error, socket]) =>
        error ? callback(error, null) : callback(null, withoutEnds(socket as TLSSocket)),
      );
    const socket = new AnswerSocket();
    const onTimeout = (): void => {
      const peer = `${options.hostname}:${options.port}`;
      socket.destroy(new errors.ConnectTimeoutError(`no connection to ${peer} in ${timeoutMilliseconds} ms`));
    };
    const timer = setTimeout(onTimeout, timeoutMilliseconds);
    let isPending = true;
    const settle = (...result: Parameters<buildConnector.Callback>): void => {
      if (!isPending) return;
      isPending = false;
      clearTimeout(timer);
      callback(...result);
    };
    socket.once('connect', () => settle(null, socket));
    // Stays for good: an error that the client no longer listens for must not end the process.
    socket.on('error', (error) => settle(error, null));
    socket.connect({ host: options.hostname, port: Number(options.port) || 80 });
  };
}
