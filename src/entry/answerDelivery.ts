/** Streams a backend server's answer to the caller. */
import type http from 'node:http';
import { BoundedBody } from '../external/boundedBody.js';
import { HEADER } from '../protocol/headers.js';
import type { RoutedAnswer } from '../requests/requestRouter.js';
import { untilDrained } from '../utils/backpressure.js';

/** How a delivery ended. `whole` means that the caller was sent the complete answer. */
export type DeliveryEnd = 'whole' | 'cut' | 'caller-left';

/** Limit for an answer that is sent at once. */
const MAX_HELD_BYTES = 16 * 1024 * 1024;
const EVENT_STREAM = 'text/event-stream';
/** Sent before an event stream is cut, since some clients hide a closed connection from their users. */
const INCOMPLETE_EVENT = 'event: error\ndata: {"error":"incomplete","outcome":"unknown"}\n\n';

/**
 * Streams the answer. If the backend server fails midway, closes the connection without ending the response, so that
 * the caller can tell that the answer is incomplete.
 */
export async function deliver(
  routed: RoutedAnswer,
  requestId: string,
  response: http.ServerResponse,
): Promise<DeliveryEnd> {
  const { status, contentType, version, body } = routed.answer;
  const head = {
    'content-type': contentType,
    [HEADER.requestId]: requestId,
    [HEADER.version]: version,
    [HEADER.outcome]: 'answered',
  };
  try {
    const held = response.useChunkedEncodingByDefault ? undefined : await collect(body);
    response.writeHead(status, { ...head, ...(held && { 'content-length': held.length }) });
    if (held) response.end(held);
    else await sendInParts(body, response);
    return response.destroyed ? 'caller-left' : 'whole';
  } catch {
    if (response.destroyed) return 'caller-left';
    if (response.headersSent && contentType.startsWith(EVENT_STREAM))
      response.write(INCOMPLETE_EVENT, () => response.destroy());
    else response.destroy();
    return 'cut';
  } finally {
    body.destroy();
    routed.done();
  }
}

async function sendInParts(body: AsyncIterable<Buffer>, response: http.ServerResponse): Promise<void> {
  for await (const piece of body) {
    if (!response.write(piece)) await untilDrained(response);
    if (response.destroyed) return;
  }
  response.end();
}

/**
 * Collects the answer to a caller that takes no chunks: without them, only a length shows whether an answer is complete,
 * since the system closes the connections of a killed process in order.
 */
async function collect(body: AsyncIterable<Buffer>): Promise<Buffer> {
  const whole = new BoundedBody('entry.deliver', MAX_HELD_BYTES);
  for await (const piece of body) whole.push(piece);
  return whole.bytes();
}
