/** Classifies answers of backend servers, and decides when to stop waiting for one. Pure functions. */
import type { ByteCollector } from '../utils/byteCollector.js';
import { MISDIRECTED_REQUEST } from './answerHead.js';
import type { AnswerHeaders } from './backendCall.js';
import type { HeaderNames } from './headerNames.js';

/** The part of an answer received so far; it is forwarded only once it is complete. */
export interface PartialAnswer {
  status: number;
  headers: AnswerHeaders;
  body: ByteCollector;
}

/**
 * - `not-run`: the server says that it has not run the request.
 * - `answered`: the answer is forwarded to the caller.
 * - `failed`: the server ran the request and failed; the answer may be forwarded.
 * - `unclear`: the answer must not be forwarded, since the caller could wrongly conclude from it that the request has
 *   run, or that it has not.
 */
export type AnswerClass = 'not-run' | 'answered' | 'failed' | 'unclear';

/** Statuses that imply that the request has not run. They are not forwarded without an explicit statement of that. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const SERVER_ERROR = 500;
const REDIRECTION = 300;

/** Classifies a complete answer. */
export function classifyAnswer(status: number, headers: AnswerHeaders, names: HeaderNames): AnswerClass {
  if (headers[names.notRun] !== undefined || status === MISDIRECTED_REQUEST) return 'not-run';
  if (NOT_RUN_STATUSES.has(status)) return 'unclear';
  if (status >= SERVER_ERROR) return 'failed';
  const isSuccess = status < REDIRECTION;
  return isSuccess && headers[names.seal] === undefined ? 'unclear' : 'answered';
}

/** Whether the server ran the request successfully, which shows that the request does not crash servers. */
export function isSuccessfulRun(answerClass: AnswerClass, status: number): boolean {
  return answerClass === 'answered' && status < REDIRECTION;
}

/**
 * A repeatable request without an answer is sent to another server after this multiple of its latency objective,
 * but not before the minimum below.
 */
const TIMEOUT_OBJECTIVES = 2.5;
const MIN_TIMEOUT_MILLISECONDS = 350;
/** A stream that has not begun is sent to another server after this time. */
const FIRST_EVENT_TIMEOUT_MILLISECONDS = 1_000;
/**
 * The same while the server is sending other streams: the prompt is queued there, and another server would have to
 * read it from the start.
 */
const QUEUED_FIRST_EVENT_TIMEOUT_MILLISECONDS = 1_800;
/** A server that has sent something within this time is active: one pass of its engine takes about 100 ms. */
const ACTIVE_SERVER_MILLISECONDS = 300;
/** Silence of a begun stream, or of all streams of a server, after which a stream is resumed on another server. */
const MAX_STREAM_SILENCE_MILLISECONDS = 900;

/**
 * Streams of a server that has begun to switch versions are handed over after a random delay from this range, so
 * that they do not all reach the other servers at once. Most streams end during the delay, and their prompts are
 * not read again.
 */
const MIN_HANDOVER_DELAY_MILLISECONDS = 500;
const MAX_HANDOVER_DELAY_MILLISECONDS = 1_000;

/**
 * Delay between the start of a server's switch and the handover of a stream. `fraction` is a random number from 0 up
 * to 1.
 */
export function handoverDelay(fraction: number): number {
  const range = MAX_HANDOVER_DELAY_MILLISECONDS - MIN_HANDOVER_DELAY_MILLISECONDS;
  return MIN_HANDOVER_DELAY_MILLISECONDS + range * fraction;
}

/** Progress of an attempt; times in milliseconds. */
export interface AttemptProgress {
  /** Since the attempt began. */
  waited: number;
  objective: number;
  /** Since the server last sent bytes of any stream. */
  serverSilentFor: number;
  stream: boolean;
  /** Since the last bytes of this stream; undefined before its head. */
  streamSilentFor: number | undefined;
}

/** Whether the attempt should be abandoned in favour of another server. */
export function isStalled(attempt: AttemptProgress): boolean {
  if (!attempt.stream) {
    return attempt.waited > Math.max(MIN_TIMEOUT_MILLISECONDS, attempt.objective * TIMEOUT_OBJECTIVES);
  }
  if (attempt.streamSilentFor !== undefined) return attempt.streamSilentFor > MAX_STREAM_SILENCE_MILLISECONDS;
  const isServerActive = attempt.serverSilentFor < ACTIVE_SERVER_MILLISECONDS;
  const timeout = isServerActive ? QUEUED_FIRST_EVENT_TIMEOUT_MILLISECONDS : FIRST_EVENT_TIMEOUT_MILLISECONDS;
  return attempt.waited > timeout || attempt.serverSilentFor > MAX_STREAM_SILENCE_MILLISECONDS;
}
