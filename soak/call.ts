/** What callers have seen of each request, for the checks. */

/** What a caller sends. */
export type CallKind = 'stream' | 'once' | 'repeatable' | 'newest';

/** How an answer looked to the caller. */
export type CallOutcome = 'whole' | 'refused' | 'failed' | 'cut' | 'never-sent' | 'left';

/** One attempt with an id of its own. */
export interface Call {
  id: string;
  kind: CallKind;
  entry: string;
  /** Wall clock, in milliseconds. */
  sentAt: number;
  endedAt: number;
  outcome: CallOutcome;
  /** 0 when there was no answer. */
  status: number;
  /** Of calls on the route of the newest configuration: since when that is there. */
  configuredAt: number | undefined;
  /** Whether its connection was opened for it. */
  onNewConnection: boolean;
  /** What was wrong with the answer, if anything. */
  answerError: string | undefined;
}
