/** A client of the entries: one request on a connection of its own. */
import http from 'node:http';
import { HOST } from './configuration.mjs';

/**
 * Sends a request. Resolves with `status`, `body`, whether the answer `isWhole`, and a `text` for the record; a
 * connection that ends without an answer has status 0.
 */
export async function sendRequest({ host, port, method, path, id, headers, deadline, body = '' }) {
  const sentAt = Date.now();
  return await new Promise((resolve) => {
    const end = (status, parts, isWhole, how) => {
      const text = `status ${status} after ${Date.now() - sentAt} ms, ${how}`;
      resolve({ status, body: Buffer.concat(parts).toString(), isWhole, text, sentAt });
    };
    const own = { host: HOST, 'x-attempt-id': id, 'x-deadline-ms': String(deadline), ...headers };
    const request = http.request({ host, port, method, path, headers: own, agent: false });
    request.setTimeout(deadline + 1_000, () => request.destroy(new Error('no answer in time')));
    request.on('error', (error) => end(0, [], false, error.code ?? error.message));
    request.on('response', (response) => {
      const parts = [];
      response.on('data', (part) => parts.push(part));
      response.on('end', () => end(response.statusCode, parts, response.complete, 'whole'));
      response.on('error', (error) => end(response.statusCode, parts, false, error.code ?? error.message));
    });
    request.end(body);
  });
}
