/** Passes a backend server's answer on to the caller. */
import type http from 'node:http';
import { HEADER } from '../protocol/headers.js';
import type { RoutedAnswer } from '../requests/requestRouter.js';
import { untilDrained } from '../utils/backpressure.js';

/** How a delivery ended. */
export type DeliveryEnd = 'whole' | 'cut' | 'caller-left';

const EVENT_STREAM = 'text/event-stream';
/** Sent before a stream is cut, for callers whose client hides the cut connection. */
const INCOMPLETE_EVENT = 'event: error\ndata: {"error":"incomplete","outcome":"unknown"}\n\n';

/** Streams the answer; one that breaks off midway ends visibly incomplete, never as if it were whole. */
export async function deliver(
  routed: RoutedAnswer,
  requestId: string,
  response: http.ServerResponse,
): Promise<DeliveryEnd> {
  const { status, contentType, version, body } = routed.answer;
  response.writeHead(status, {
    'content-type': contentType,
    [HEADER.requestId]: requestId,
    [HEADER.version]: version,
    [HEADER.outcome]: 'answered',
  });
  try {
    for await (const piece of body) {
      if (!response.write(piece)) await untilDrained(response);
      if (response.destroyed) return 'caller-left';
    }
    response.end();
    return 'whole';
  } catch {
    if (response.destroyed) return 'caller-left';
    if (contentType.startsWith(EVENT_STREAM)) response.write(INCOMPLETE_EVENT, () => response.destroy());
    else response.destroy();
    return 'cut';
  } finally {
    body.destroy();
    routed.done();
  }
}
