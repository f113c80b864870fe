/** What a backend server says of itself in the head of an answer. Pure. */

/** Header values by lower-case name. */
type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** The names of the headers, in lower case. */
export interface SignalNames {
  /** Requests a second that the server takes from all entries together, as a decimal number. */
  serverLimit: string;
  /** Present with the value 1 on each answer of a server that leaves. */
  serverLeaving: string;
  /** On a rejection: seconds, or the date until which the server wants no request from this entry. */
  retryAfter: string;
}

export interface AnswerSignals {
  /** Requests a second from all entries together; undefined where the answer names no limit. */
  limitPerSecond: number | undefined;
  leaving: boolean;
  /** How long the server wants no request from this entry; 0 where it does not say. */
  retryAfterMilliseconds: number;
  /** A header that is there and cannot be read, with its value; undefined when all can be. */
  unreadable: string | undefined;
}

const NONE: AnswerSignals = {
  limitPerSecond: undefined,
  leaving: false,
  retryAfterMilliseconds: 0,
  unreadable: undefined,
};
/** Statuses of a rejection whose Retry-After counts. */
const RETRY_AFTER_STATUSES = new Set([429, 503]);
const LEAVING = '1';
const DECIMAL = /^\d+(\.\d+)?$/;
const MILLISECONDS = 1_000;
/** A server that asks for longer is asked again after this: its clock or its configuration is wrong. */
export const MAX_RETRY_AFTER_MILLISECONDS = 600_000;
const LONGEST_LOGGED = 40;

/** Reads the signals of an answer; `wallClock` is Unix milliseconds, for dates. */
export function readSignals(
  status: number,
  headers: Headers,
  names: SignalNames,
  wallClock: () => number = Date.now,
): AnswerSignals {
  const limit = textOf(headers[names.serverLimit]);
  const leaving = textOf(headers[names.serverLeaving]);
  const retryAfter = RETRY_AFTER_STATUSES.has(status) ? textOf(headers[names.retryAfter]) : undefined;
  if (limit === undefined && leaving === undefined && retryAfter === undefined) return NONE;
  const limitPerSecond = decimal(limit);
  const retryAfterMilliseconds = retryAfterOf(retryAfter, wallClock);
  const unreadable = [
    ...unread(names.serverLimit, limit, limitPerSecond),
    ...unread(names.retryAfter, retryAfter, retryAfterMilliseconds),
  ];
  return {
    limitPerSecond,
    leaving: leaving === LEAVING,
    retryAfterMilliseconds: retryAfterMilliseconds ?? 0,
    unreadable: unreadable.at(0)?.slice(0, LONGEST_LOGGED),
  };
}

/** The header where its value is there and means nothing. */
function unread(name: string, text: string | undefined, value: number | undefined): string[] {
  return text !== undefined && value === undefined ? [`${name}: ${text}`] : [];
}

/** The last of several values of one header. */
function textOf(value: string | string[] | undefined): string | undefined {
  return (Array.isArray(value) ? value.at(-1) : value)?.trim();
}

function decimal(text: string | undefined): number | undefined {
  const value = text !== undefined && DECIMAL.test(text) ? Number(text) : Number.NaN;
  return Number.isFinite(value) ? value : undefined;
}

/** Milliseconds of a Retry-After, undefined when its value means nothing. */
function retryAfterOf(text: string | undefined, wallClock: () => number): number | undefined {
  if (text === undefined) return undefined;
  const seconds = decimal(text);
  const milliseconds = seconds === undefined ? untilDate(text, wallClock) : seconds * MILLISECONDS;
  if (milliseconds === undefined) return undefined;
  return Math.min(MAX_RETRY_AFTER_MILLISECONDS, Math.max(0, milliseconds));
}

/** Milliseconds until an HTTP date, which ends in its time zone; other texts that a date parser takes are no dates. */
function untilDate(text: string, wallClock: () => number): number | undefined {
  const date = text.endsWith(' GMT') ? Date.parse(text) : Number.NaN;
  return Number.isNaN(date) ? undefined : date - wallClock();
}
