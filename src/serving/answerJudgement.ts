/** What an answer of a backend server means, and when a missing one is given up. Pure. */
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
export type AnswerVerdict = 'not-run' | 'answered' | 'failed' | 'unclear';

/** Statuses that promise that a request has not run, which without a proof may not be passed on. */
const PROMISING_STATUSES = new Set([408, 421, 429, 503]);
/** Another server has the address, or the server holds another version. */
export const MISDIRECTED = 421;
const SERVER_ERROR = 500;
const REDIRECTION = 300;

/** Judges a whole answer. */
export function judgeAnswer(status: number, headers: AnswerHeaders, names: HeaderNames): AnswerVerdict {
  if (headers[names.notRun] !== undefined || status === MISDIRECTED) return 'not-run';
  if (PROMISING_STATUSES.has(status)) return 'unclear';
  if (status >= SERVER_ERROR) return 'failed';
  const isSuccess = status < REDIRECTION;
  return isSuccess && headers[names.seal] === undefined ? 'unclear' : 'answered';
}

/** First answer of a repeatable request, in parts of its objective, after which another server is tried. */
const PATIENCE_OBJECTIVES = 2.5;
const LEAST_PATIENCE_MILLISECONDS = 350;
/** The same for the first event of a stream. */
const STREAM_PATIENCE_MILLISECONDS = 1_000;
/** Pause of a begun stream, or of a server that has streams to send, after which streams are resumed elsewhere. */
const STREAM_SILENCE_MILLISECONDS = 900;

/**
 * Streams that keep a server from its next version are resumed elsewhere after a time drawn from this range, so that
 * they do not all meet on the others at once.
 */
const LEAST_SWITCHING_PATIENCE_MILLISECONDS = 300;
const MOST_SWITCHING_PATIENCE_MILLISECONDS = 900;

/** How long a stream may keep a server from its next version; `fraction` is a random number from 0 up to 1. */
export function switchingPatience(fraction: number): number {
  const range = MOST_SWITCHING_PATIENCE_MILLISECONDS - LEAST_SWITCHING_PATIENCE_MILLISECONDS;
  return LEAST_SWITCHING_PATIENCE_MILLISECONDS + fraction * range;
}

/** How an attempt stands; times in milliseconds. */
export interface AttemptProgress {
  /** Since the attempt began. */
  waited: number;
  objective: number;
  /** Since the server sent anything for any stream. */
  serverSilentFor: number;
  stream: boolean;
  /** For which the server has been between two versions, and waits for its streams to end; 0 when it is not. */
  serverSwitchingFor: number;
  /** See {@link switchingPatience}. */
  switchingPatience: number;
  /** Since this stream's last bytes; undefined before its head. */
  streamSilentFor: number | undefined;
}

/** Whether the attempt should be given up for another server. */
export function shouldMove(attempt: AttemptProgress): boolean {
  return attempt.serverSwitchingFor > attempt.switchingPatience || isSilent(attempt);
}

function isSilent(attempt: AttemptProgress): boolean {
  if (!attempt.stream) {
    return attempt.waited > Math.max(LEAST_PATIENCE_MILLISECONDS, attempt.objective * PATIENCE_OBJECTIVES);
  }
  if (attempt.streamSilentFor !== undefined) return attempt.streamSilentFor > STREAM_SILENCE_MILLISECONDS;
  return (
    attempt.waited > STREAM_PATIENCE_MILLISECONDS || attempt.serverSilentFor > STREAM_SILENCE_MILLISECONDS
  );
}
