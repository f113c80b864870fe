/** Helpers to read the heads of requests and to write JSON responses with Node's http module. */
import type http from 'node:http';

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
