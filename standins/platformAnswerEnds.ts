/** How the answers of the runner stand-in end: with or without a length or chunks, whole or reset, and the connection. */
import type http from 'node:http';
import type { PlatformRunnerFaults } from './platformRunnerFaults.js';

/**
 * - `framed`: with a length or chunks.
 * - `closing`: the same, and the connection is closed afterwards.
 * - `connection`: with neither, so that the answer ends with its connection.
 * - `reset`: the same, but the connection is reset behind a part of the answer.
 */
export type AnswerEnd = 'framed' | 'closing' | 'connection' | 'reset';

/** Chooses how an answer ends, by the shares of the faults; `fraction` returns random numbers from 0 up to 1. */
export function chooseEnd(faults: PlatformRunnerFaults, fraction: () => number): AnswerEnd {
  const { closingShare = 0, unframedShare = 0, resetShare = 0 } = faults;
  if (closingShare + unframedShare + resetShare === 0) return 'framed';
  const random = fraction();
  if (random < resetShare) return 'reset';
  if (random < resetShare + unframedShare) return 'connection';
  return random < resetShare + unframedShare + closingShare ? 'closing' : 'framed';
}

/** Sends the head of an answer that ends like this. `length` is that of the body, undefined for a stream. */
export function writeHeadFor(
  end: AnswerEnd,
  response: http.ServerResponse,
  headers: http.OutgoingHttpHeaders,
  length?: number,
): void {
  const isFramed = end === 'framed' || end === 'closing';
  if (!isFramed) response.useChunkedEncodingByDefault = false;
  response.writeHead(200, {
    ...headers,
    ...(end !== 'framed' && { connection: 'close' }),
    ...(isFramed && length !== undefined && { 'content-length': length }),
  });
}

/** Sends an answer that is no stream; a truncated one is closed within its body. Returns whether all of it was sent. */
export function sendAnswer(
  response: http.ServerResponse,
  end: AnswerEnd,
  headers: http.OutgoingHttpHeaders,
  body: string,
  isTruncated: boolean,
): boolean {
  writeHeadFor(end, response, headers, body.length);
  if (end === 'reset') writeAndReset(response, body.slice(0, body.length >> 1));
  else if (isTruncated) response.write(body.slice(0, 3), () => response.destroy());
  else response.end(body);
  return end !== 'reset' && !isTruncated;
}

/** Where a stream is broken off: in the middle of its second event, or by a reset behind that event. */
export type StreamBreak = 'inside-event' | 'reset' | undefined;

export function streamBreak(end: AnswerEnd, isTruncated: boolean): StreamBreak {
  if (end === 'reset') return 'reset';
  return isTruncated ? 'inside-event' : undefined;
}

/** Sends the last bytes that a reset lets through, so that both arrive together. */
export function writeAndReset(response: http.ServerResponse, bytes: string): void {
  const { socket } = response;
  response.write(bytes, () => socket?.resetAndDestroy());
}
