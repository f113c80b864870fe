/** What an answer of a backend server means, and when a missing one is given up. Pure. */
import { MISDIRECTED_REQUEST } from './answerHead.js';
import type { AnswerHeaders } from './backendCall.js';
import type { HeaderNames } from './headerNames.js';

/** An answer that is not passed on before it is whole, as far as it has come. */
export interface PartialAnswer {
  status: number;
  headers: AnswerHeaders;
  body: Buffer[];
  length: number;
}

/**
 * `not-run`: the server says so. `failed`: it ran and failed, and the caller may be told so. `unclear`: the caller
 * must not be told what the server said, since it would conclude what is not known.
 */
export type AnswerClass = 'not-run' | 'answered' | 'failed' | 'unclear';

/** Statuses that promise that a request has not run, which without a proof may not be passed on. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const SERVER_ERROR = 500;
const REDIRECTION = 300;

/** Judges a whole answer. */
export function classifyAnswer(status: number, headers: AnswerHeaders, names: HeaderNames): AnswerClass {
  if (headers[names.notRun] !== undefined || status === MISDIRECTED_REQUEST) return 'not-run';
  if (NOT_RUN_STATUSES.has(status)) return 'unclear';
  if (status >= SERVER_ERROR) return 'failed';
  const isSuccess = status < REDIRECTION;
  return isSuccess && headers[names.seal] === undefined ? 'unclear' : 'answered';
}

/** Whether the server has run the request to a success: it did not end by it. */
export function isSuccessfulRun(verdict: AnswerClass, status: number): boolean {
  return verdict === 'answered' && status < REDIRECTION;
}

/** First answer of a repeatable request, in parts of its objective, after which another server is tried. */
const TIMEOUT_OBJECTIVES = 2.5;
const MIN_TIMEOUT_MILLISECONDS = 350;
/** The same for the first event of a stream. */
const FIRST_EVENT_TIMEOUT_MILLISECONDS = 1_000;
/** The same at a server that sends events to others: the prompt waits its turn, and would be read a second time elsewhere. */
const QUEUED_FIRST_EVENT_TIMEOUT_MILLISECONDS = 1_800;
/** A server that was heard so lately is at work: a pass of its engine takes some 100 ms. */
const ACTIVE_SERVER_MILLISECONDS = 300;
/** Pause of a begun stream, or of a server that has streams to send, after which streams are resumed elsewhere. */
const MAX_STREAM_SILENCE_MILLISECONDS = 900;

/**
 * Streams at a server that is about to take another version are handed over to others after a time from this range, so
 * that they do not all meet on the others at once. Most end by themselves before: their prompts need not be read again.
 */
const MIN_HANDOVER_DELAY_MILLISECONDS = 500;
const MAX_HANDOVER_DELAY_MILLISECONDS = 1_000;

/** When a stream is handed over after its server has begun to switch; `fraction` is a random number from 0 up to 1. */
export function handoverDelay(fraction: number): number {
  const range = MAX_HANDOVER_DELAY_MILLISECONDS - MIN_HANDOVER_DELAY_MILLISECONDS;
  return MIN_HANDOVER_DELAY_MILLISECONDS + range * fraction;
}

/** How an attempt stands; times in milliseconds. */
export interface AttemptProgress {
  /** Since the attempt began. */
  waited: number;
  objective: number;
  /** Since the server sent anything for any stream. */
  serverSilentFor: number;
  stream: boolean;
  /** Since this stream's last bytes; undefined before its head. */
  streamSilentFor: number | undefined;
}

/** Whether the attempt should be given up for another server. */
export function isStalled(attempt: AttemptProgress): boolean {
  if (!attempt.stream) {
    return attempt.waited > Math.max(MIN_TIMEOUT_MILLISECONDS, attempt.objective * TIMEOUT_OBJECTIVES);
  }
  if (attempt.streamSilentFor !== undefined) return attempt.streamSilentFor > MAX_STREAM_SILENCE_MILLISECONDS;
  const isServerActive = attempt.serverSilentFor < ACTIVE_SERVER_MILLISECONDS;
  const timeout = isServerActive ? QUEUED_FIRST_EVENT_TIMEOUT_MILLISECONDS : FIRST_EVENT_TIMEOUT_MILLISECONDS;
  return attempt.waited > timeout || attempt.serverSilentFor > MAX_STREAM_SILENCE_MILLISECONDS;
}
