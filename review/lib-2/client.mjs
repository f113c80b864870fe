/** A client of the deployment: sends one request over a connection of its own and reads the whole answer. */
import http from 'node:http';

let sent = 0;

/** A new id of a client attempt. */
export function newId() {
  sent++;
  return `${process.pid.toString(16)}-${sent.toString(16).padStart(8, '0')}`;
}

/**
 * Sends a request to `entry` (host:port) and resolves to what the client saw: `status`, `headers`, `body`, `sentAt`,
 * `endedAt`, and `complete`, whether the answer ended in order. `error` tells why there is none.
 * `headers` are sent as well.
 */
export async function send({
  entry,
  host,
  path,
  method = 'GET',
  key,
  id = newId(),
  deadline = 6_000,
  body,
  agent,
  headers: own = {},
}) {
  const [address, port] = entry.split(':');
  const headers = { ...own, host, 'x-attempt-id': id, 'x-deadline-ms': String(deadline) };
  if (key) headers.authorization = `Bearer ${key}`;
  if (body) headers['content-length'] = Buffer.byteLength(body);
  const seen = { id, entry, sentAt: Date.now(), status: 0, headers: {}, body: '', complete: false };
  return await new Promise((resolve) => {
    const finish = (more) => {
      clearTimeout(timer);
      resolve(Object.assign(seen, { endedAt: Date.now() }, more));
    };
    const options = { host: address, port: Number(port), path, method, headers, agent: agent ?? false };
    const request = http.request(options, (response) => {
      Object.assign(seen, { status: response.statusCode, headers: response.headers });
      response.setEncoding('utf8');
      response.on('data', (text) => (seen.body += text));
      response.once('end', () => finish({ complete: response.complete }));
      response.once('error', (error) => finish({ error: error.code ?? error.message }));
    });
    request.once('error', (error) => finish({ error: error.code ?? error.message }));
    const timer = setTimeout(() => request.destroy(new Error('deadline')), deadline);
    request.end(body);
  });
}
