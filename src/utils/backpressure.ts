/** Backpressure of HTTP responses. */
import type http from 'node:http';

/**
 * Resolves when `response` accepts more bytes or has been closed. Closes its connection if the receiver takes no byte for
 * `stallMilliseconds`; 0 for no limit.
 */
export async function untilDrained(response: http.ServerResponse, stallMilliseconds = 0): Promise<void> {
  if (response.destroyed || !response.writableNeedDrain) return;
  // At its timeout, which a slow receiver does not reach, a server closes the connection.
  if (stallMilliseconds > 0) response.setTimeout(stallMilliseconds);
  await new Promise<void>((resolve) => {
    const done = (): void => {
      response.off('drain', done);
      response.off('close', done);
      if (stallMilliseconds > 0) response.setTimeout(0);
      resolve();
    };
    response.on('drain', done);
    response.on('close', done);
  });
}
