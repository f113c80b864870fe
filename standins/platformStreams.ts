/** The streams of the runner stand-in, whose length and pace a request may choose in its query. */
import type http from 'node:http';
import { pause } from '../src/utils/timers.js';
import { STREAM_EVENTS, eventText } from './platformAnswers.js';

/** Length and pace of a stream. */
export interface StreamShape {
  events: number;
  /** Time before each event. */
  pauseMilliseconds: number;
}

export const EVENT_MILLISECONDS = 15;
const NO_EVENT = Number.MAX_SAFE_INTEGER;

/** Returns the query of a request for a stream of this shape. */
export function streamQuery({ events, pauseMilliseconds }: StreamShape): string {
  return `stream=1&events=${events}&pause=${pauseMilliseconds}`;
}

/** Sends the events after `firstEvent - 1`. A truncated stream is broken off in the middle of its second event. */
export async function sendStream(
  response: http.ServerResponse,
  id: string,
  query: URLSearchParams,
  firstEvent: number,
  isTruncated: boolean,
): Promise<void> {
  const events = Number(query.get('events') ?? STREAM_EVENTS);
  const pauseMilliseconds = Number(query.get('pause') ?? EVENT_MILLISECONDS);
  const truncatedEvent = isTruncated ? firstEvent + 1 : NO_EVENT;
  for (let event = firstEvent; event <= events && !response.destroyed; event++) {
    await pause(pauseMilliseconds);
    const text = eventText(id, event);
    if (event >= truncatedEvent)
      return void response.write(text.slice(0, text.length >> 1), () => response.destroy());
    response.write(text);
  }
  response.end();
}
