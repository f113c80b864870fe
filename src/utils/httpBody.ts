/** Helpers to read requests and to write JSON responses with Node's http module. */
import type http from 'node:http';
import { StepError } from './stepError.js';

/**
 * Reads a whole body; throws a StepError as soon as it exceeds `limitBytes`. The rest of such a body is read and
 * discarded, and the caller should close the connection after its response.
 */
export async function readBody(request: http.IncomingMessage, limitBytes: number): Promise<Buffer> {
  const parts: Buffer[] = [];
  let length = 0;
  return await new Promise((resolve, reject) => {
    request.on('data', (part: Buffer) => {
      length += part.length;
      if (length <= limitBytes) parts.push(part);
      else reject(new StepError('http.body', `over ${limitBytes} bytes`, { advice: 'fix-input' }));
    });
    request.once('end', () => resolve(Buffer.concat(parts)));
    request.once('error', reject);
    request.once('close', () => {
      if (!request.readableEnded) reject(new StepError('http.body', 'ended early'));
    });
  });
}

/** Returns the target of a request as a URL whose host means nothing; undefined if it is not a valid one. */
export function requestTarget(request: http.IncomingMessage): URL | undefined {
  const { url = '/' } = request;
  // A path that begins with two slashes would be taken for a host if it were resolved against a base.
  const absolute = url.startsWith('/') ? `http://host${url}` : url;
  return URL.canParse(absolute) ? new URL(absolute) : undefined;
}

/** Sends a JSON response, unless the response has already ended. */
export function answerJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  headers: http.OutgoingHttpHeaders = {},
): void {
  if (response.destroyed || response.writableEnded) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/** Returns the bearer token of a request, or '' when it has none. */
export function bearerToken(request: http.IncomingMessage): string {
  const match = /^Bearer (\S+)$/i.exec(request.headers.authorization ?? '');
  return match?.[1] ?? '';
}

/** Returns the first value of a header, or '' when it is missing. */
export function headerText(headers: http.IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return Array.isArray(value) ? (value[0] ?? '') : (value ?? '');
}
