/** Records of the requests that callers sent, as input of the checks. */

/** The kinds of requests. `newest` probes the route that only the newest configuration has. */
export type CallKind = 'stream' | 'once' | 'repeatable' | 'newest';

/**
 * How a request ended for the caller. `whole`: complete and correct. `refused`: with a status that promises that
 * the request has not run. `failed`: another status or a wrong answer. `cut`: the connection broke. `never-sent`:
 * the connection was refused. `left`: the caller aborted it.
 */
export type CallOutcome = 'whole' | 'refused' | 'failed' | 'cut' | 'never-sent' | 'left';

/** One attempt to send a request. Each attempt has its own id. */
export interface Call {
  id: string;
  kind: CallKind;
  entry: string;
  /** Wall clock time, in milliseconds. */
  sentAt: number;
  endedAt: number;
  outcome: CallOutcome;
  /** HTTP status, 0 if there was no answer. */
  status: number;
  /** When the newest configuration was stored, for `newest` requests only. */
  configuredAt: number | undefined;
  /** Whether a new connection was opened for this request. */
  onNewConnection: boolean;
  /** Why the answer is wrong, if it is. */
  answerError: string | undefined;
}
