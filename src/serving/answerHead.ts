/** Hands what the head of an answer says of its server on to what is known of that server. */
import { readSignals } from '../backpressure/answerSignals.js';
import type { AnswerHeaders } from './backendCall.js';
import type { HeaderNames } from './headerNames.js';
import type { TrackedServer } from './trackedServer.js';

/** Another server has the address, or the server holds another version. */
export const MISDIRECTED = 421;

/** Notes the head of an answer of `server`; `model` is '' for requests without one. */
export function noteAnswerHead(
  server: TrackedServer,
  status: number,
  headers: AnswerHeaders,
  names: HeaderNames,
  model: string,
): void {
  const version = Number(headers[names.version]);
  if (model !== '' && version > 0) server.noteVersion(model, version);
  // a misdirected request may have been answered by another server
  if (status !== MISDIRECTED) server.backpressure.applySignals(readSignals(status, headers, names));
}
