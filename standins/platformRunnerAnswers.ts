/** How the runner stand-in answers a request that has run, with the faults that it has. */
import type http from 'node:http';
import { pause } from '../src/utils/timers.js';
import { chooseEnd, sendAnswer, streamBreak, writeHeadFor } from './platformAnswerEnds.js';
import type { PlatformRunnerFaults } from './platformRunnerFaults.js';
import { chooseForm, sendFormedStream } from './platformStreamForms.js';
import type { StreamSpeed } from './platformStreams.js';
import { sendStream } from './platformStreams.js';

const ANSWER_MILLISECONDS = 10;

/** A request that has run, and the connection for its answer. */
export interface RunRequest {
  id: string;
  request: http.IncomingMessage;
  response: http.ServerResponse;
  query: URLSearchParams;
  /** Headers of the answer. */
  headers: http.OutgoingHttpHeaders;
}

export interface AnswerOptions {
  faults: PlatformRunnerFaults;
  /** Returns a random number from 0 to 1. */
  fraction: () => number;
  speed: StreamSpeed;
}

/** Sends the answer; `random` from 0 to 1 chooses the fault. */
export async function answerRequest(run: RunRequest, random: number, options: AnswerOptions): Promise<void> {
  const { id, request, response, query, headers } = run;
  const { faults } = options;
  const { lostAnswerShare = 0, errorShare = 0, truncatedShare = 0, extraAnswerShare = 0 } = faults;
  if (random < lostAnswerShare) return void response.destroy();
  if (random < lostAnswerShare + errorShare) return void response.writeHead(500, headers).end('failed');
  const isTruncated = random < lostAnswerShare + errorShare + truncatedShare;
  if (query.has('stream')) return await answerWithStream(run, isTruncated, options);
  const end = chooseEnd(faults, options.fraction);
  await pause(ANSWER_MILLISECONDS);
  const body = answerText(id, query);
  if (!sendAnswer(response, end, headers, body, isTruncated)) return;
  if (random < lostAnswerShare + errorShare + truncatedShare + extraAnswerShare)
    request.socket.write(
      `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-server-seal: s\r\ncontent-length: 2\r\n\r\nno`,
    );
}

/** A request may choose the length of its answer in its query. */
function answerText(id: string, query: URLSearchParams): string {
  return `answer of ${id}`.padEnd(Number(query.get('bytes') ?? 0), '.');
}

async function answerWithStream(
  { id, request, response, query, headers }: RunRequest,
  isTruncated: boolean,
  { faults, fraction, speed }: AnswerOptions,
): Promise<void> {
  const firstEvent = Number(request.headers['last-event-id'] ?? 0) + 1;
  const streamHeaders = { ...headers, 'content-type': 'text/event-stream' };
  if (faults.streamResetShare !== undefined) {
    const form = chooseForm(faults.streamResetShare, fraction);
    return await sendFormedStream(response, id, streamHeaders, query, firstEvent, form);
  }
  const end = chooseEnd(faults, fraction);
  writeHeadFor(end, response, streamHeaders);
  await sendStream(response, id, query, firstEvent, streamBreak(end, isTruncated), speed);
}
