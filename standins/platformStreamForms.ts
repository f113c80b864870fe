/** Streams of the runner stand-in in each form that HTTP/1.1 allows, some of which are reset midway. */
import type http from 'node:http';
import { pause } from '../src/utils/timers.js';
import { STREAM_EVENTS, eventText } from './platformAnswers.js';
import { writeAndReset } from './platformAnswerEnds.js';

/** How an answer is framed: by a length, by chunks, or by the end of its connection. */
const FRAMINGS = ['length', 'chunks', 'connection'] as const;

/** The form of a stream. */
export interface StreamForm {
  framing: (typeof FRAMINGS)[number];
  /** Whether its head has `Connection: close`. */
  announcesClose: boolean;
  /** Where its connection is reset, as a share of its bytes; undefined if the stream is complete. */
  resetAt: number | undefined;
  /** Whether the reset arrives together with the last bytes, or a moment later. */
  resetsAtOnce: boolean;
}

const ANNOUNCED_CLOSE_SHARE = 0.5;
const AT_ONCE_SHARE = 0.7;
const EVENT_MILLISECONDS = 10;
/** Maximum time from the last bytes to a reset that does not arrive with them. */
const MAX_RESET_DELAY_MILLISECONDS = 12;

/** Chooses a form at random. `resetShare` of the streams are reset. */
export function chooseForm(resetShare: number, fraction: () => number): StreamForm {
  return {
    framing: FRAMINGS[Math.floor(fraction() * FRAMINGS.length)],
    announcesClose: fraction() < ANNOUNCED_CLOSE_SHARE,
    resetAt: fraction() < resetShare ? fraction() : undefined,
    resetsAtOnce: fraction() < AT_ONCE_SHARE,
  };
}

/** Sends the events after `firstEvent - 1`. Resets fall between two events as often as within one. */
export async function sendFormedStream(
  response: http.ServerResponse,
  id: string,
  headers: http.OutgoingHttpHeaders,
  query: URLSearchParams,
  firstEvent: number,
  form: StreamForm,
): Promise<void> {
  const count = Math.max(0, Number(query.get('events') ?? STREAM_EVENTS) - firstEvent + 1);
  const events = Array.from({ length: count }, (_unused, index) => eventText(id, firstEvent + index));
  writeFormedHead(response, headers, form, Buffer.byteLength(events.join('')));
  const position = form.resetAt === undefined ? count : form.resetAt * count;
  for (const event of events.slice(0, Math.floor(position))) {
    await pause(EVENT_MILLISECONDS);
    if (response.destroyed) return;
    response.write(event);
  }
  if (form.resetAt === undefined) return void response.end();
  await reset(response, lastBytes(events[Math.floor(position)] ?? '', position % 1), form);
}

function writeFormedHead(
  response: http.ServerResponse,
  headers: http.OutgoingHttpHeaders,
  { framing, announcesClose }: StreamForm,
  length: number,
): void {
  response.useChunkedEncodingByDefault = framing === 'chunks';
  // Without this, node adds `Connection: close` to answers with neither a length nor chunks.
  if (!announcesClose) response.removeHeader('connection');
  response.writeHead(200, {
    ...headers,
    ...(announcesClose && { connection: 'close' }),
    ...(framing === 'length' && { 'content-length': length }),
  });
  response.flushHeaders();
}

function lastBytes(event: string, share: number): string {
  return share < 0.5 ? '' : event.slice(0, Math.floor(event.length * (2 * share - 1)));
}

async function reset(response: http.ServerResponse, bytes: string, form: StreamForm): Promise<void> {
  await pause(EVENT_MILLISECONDS);
  if (response.destroyed) return;
  if (form.resetsAtOnce && bytes !== '') return writeAndReset(response, bytes);
  if (bytes !== '') response.write(bytes);
  await pause((form.resetAt ?? 0) * MAX_RESET_DELAY_MILLISECONDS);
  response.socket?.resetAndDestroy();
}
