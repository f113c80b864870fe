/** Updates the state kept of a backend server from the status and headers of its answers. */
import { readSignals } from '../backpressure/answerSignals.js';
import type { AnswerHeaders } from './backendCall.js';
import type { HeaderNames } from './headerNames.js';
import type { TrackedServer } from './trackedServer.js';

/** Status of a server for which the request was not meant, or which has another version of the model. */
export const MISDIRECTED_REQUEST = 421;

/** Records status and headers of an answer of `server`. `model` is '' for requests without one. */
export function recordAnswerHead(
  server: TrackedServer,
  status: number,
  headers: AnswerHeaders,
  names: HeaderNames,
  model: string,
): void {
  const version = Number(headers[names.version]);
  if (model !== '' && version > 0) server.noteAnsweredVersion(model, version);
  // The answer to a misdirected request may come from another server.
  if (status !== MISDIRECTED_REQUEST) server.backpressure.applySignals(readSignals(status, headers, names));
}
