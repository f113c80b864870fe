/** Reading request bodies and writing JSON answers on Node's http. */
import type http from 'node:http';
import { StepError } from './stepError.js';

/**
 * Reads a whole body; throws a StepError once it is over `limitBytes`. The rest of such a body is thrown away, and the
 * answer should close the connection.
 */
export async function readBody(request: http.IncomingMessage, limitBytes: number): Promise<Buffer> {
  const pieces: Buffer[] = [];
  let length = 0;
  return await new Promise((resolve, reject) => {
    request.on('data', (piece: Buffer) => {
      length += piece.length;
      if (length <= limitBytes) pieces.push(piece);
      else reject(new StepError('http.body', `over ${limitBytes} bytes`, { advice: 'fix-input' }));
    });
    request.once('end', () => resolve(Buffer.concat(pieces)));
    request.once('error', reject);
    request.once('close', () => {
      if (!request.readableEnded) reject(new StepError('http.body', 'ended early'));
    });
  });
}

/** Answers with JSON. */
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

/** Returns the bearer token of a request, or ''. */
export function bearerToken(request: http.IncomingMessage): string {
  const match = /^Bearer (\S+)$/i.exec(request.headers.authorization ?? '');
  return match?.[1] ?? '';
}

/** Returns a header as one string, or ''. */
export function headerText(headers: http.IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return Array.isArray(value) ? (value[0] ?? '') : (value ?? '');
}
