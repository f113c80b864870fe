/** The streams of the runner stand-in, whose length and pace a request may choose in its query. */
import type http from 'node:http';
import { pause } from '../src/utils/timers.js';
import type { StreamBreak } from './platformAnswerEnds.js';
import { writeAndReset } from './platformAnswerEnds.js';
import { STREAM_EVENTS, eventText } from './platformAnswers.js';

/** Length and pace of a stream. */
export interface StreamShape {
  events: number;
  /** Time before each event. */
  pauseMilliseconds: number;
}

/** How fast a runner sends the streams whose pace their request has chosen; it may change while they run. */
export interface StreamSpeed {
  /** Multiplies the time before each event; infinite while these streams stand still. */
  slowness: number;
}

export const EVENT_MILLISECONDS = 15;
const STANDSTILL_POLL_MILLISECONDS = 20;
const NO_EVENT = Number.MAX_SAFE_INTEGER;

/** Returns the query of a request for a stream of this shape. */
export function streamQuery({ events, pauseMilliseconds }: StreamShape): string {
  return `stream=1&events=${events}&pause=${pauseMilliseconds}`;
}

/** Sends the events after `firstEvent - 1`. */
export async function sendStream(
  response: http.ServerResponse,
  id: string,
  query: URLSearchParams,
  firstEvent: number,
  broken: StreamBreak,
  speed: StreamSpeed,
): Promise<void> {
  const events = Number(query.get('events') ?? STREAM_EVENTS);
  const lastEvent = broken ? firstEvent + 1 : NO_EVENT;
  for (let event = firstEvent; event <= events && !response.destroyed; event++) {
    await pauseBeforeEvent(query, speed, response);
    const text = eventText(id, event);
    if (event >= lastEvent && broken === 'reset') return writeAndReset(response, text);
    if (event >= lastEvent)
      return void response.write(text.slice(0, text.length >> 1), () => response.destroy());
    response.write(text);
  }
  response.end();
}

async function pauseBeforeEvent(
  query: URLSearchParams,
  speed: StreamSpeed,
  response: http.ServerResponse,
): Promise<void> {
  const chosen = query.get('pause');
  if (chosen === null) return await pause(EVENT_MILLISECONDS);
  while (speed.slowness === Number.POSITIVE_INFINITY && !response.destroyed)
    await pause(STANDSTILL_POLL_MILLISECONDS);
  await pause(Number(chosen) * (response.destroyed ? 0 : speed.slowness));
}
