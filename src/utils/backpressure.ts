/** Backpressure of HTTP responses. */
import type http from 'node:http';

/** Resolves when `response` accepts more bytes or has been closed. */
export async function untilDrained(response: http.ServerResponse): Promise<void> {
  if (response.destroyed || !response.writableNeedDrain) return;
  await new Promise<void>((resolve) => {
    const done = (): void => {
      response.off('drain', done);
      response.off('close', done);
      resolve();
    };
    response.on('drain', done);
    response.on('close', done);
  });
}
