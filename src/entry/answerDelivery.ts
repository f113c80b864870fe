/** Streams a backend server's answer to the caller. */
import type http from 'node:http';
import { HEADER } from '../protocol/headers.js';
import type { RoutedAnswer } from '../requests/requestRouter.js';
import type { AnswerLimits } from '../utils/answerWriter.js';
import { AnswerWriter } from '../utils/answerWriter.js';

/** How a delivery ended. `whole` means that the caller was sent the complete answer. */
export type DeliveryEnd = 'whole' | 'cut' | 'caller-left';

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
  limits: AnswerLimits,
): Promise<DeliveryEnd> {
  const { status, contentType, version, body } = routed.answer;
  const head = {
    'content-type': contentType,
    [HEADER.requestId]: requestId,
    [HEADER.version]: version,
    [HEADER.outcome]: 'answered',
  };
  const writer = new AnswerWriter(response, limits);
  try {
    writer.begin(status, head);
    for await (const piece of body) {
      await writer.write(piece);
      if (response.destroyed) return 'caller-left';
    }
    writer.end();
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
