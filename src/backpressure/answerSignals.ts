/** Parses the backpressure headers of a backend server's answer. Pure functions. */

/** Header values by lower-case name. */
type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Names of the backpressure headers, in lower case. */
export interface SignalNames {
  /** Requests per second that the server accepts from all entries together, as a decimal number. */
  serverLimit: string;
  /** Set to 1 on every answer of a server that is shutting down. */
  serverLeaving: string;
  /** Milliseconds for which the server remains cold, as a decimal number. */
  serverCold: string;
  /** On a rejection: seconds to wait, or the date before which this entry must not send to the server. */
  retryAfter: string;
}

export interface AnswerSignals {
  /** Requests per second from all entries together; undefined when the answer has no limit header. */
  limitPerSecond: number | undefined;
  leaving: boolean;
  /** How long this entry must not send to the server; 0 without a Retry-After. */
  retryAfterMilliseconds: number;
  /** How long the server remains cold; 0 when it is warm or does not tell. */
  coldMilliseconds: number;
  /** Name and value of the first header that cannot be parsed; undefined when all headers are valid. */
  unreadable: string | undefined;
}

const NO_SIGNALS: AnswerSignals = {
  limitPerSecond: undefined,
  leaving: false,
  retryAfterMilliseconds: 0,
  coldMilliseconds: 0,
  unreadable: undefined,
};
/** Statuses for which Retry-After is honoured. */
const RETRY_AFTER_STATUSES = new Set([429, 503]);
const LEAVING_VALUE = '1';
const DECIMAL = /^\d+(\.\d+)?$/;
const MILLISECONDS_PER_SECOND = 1_000;
/** Upper bound for Retry-After: a longer value means that the server's clock or configuration is wrong. */
export const MAX_RETRY_AFTER_MILLISECONDS = 600_000;
const MAX_LOGGED_CHARACTERS = 40;

/** Parses the headers of an answer. `wallClock` returns Unix milliseconds and is used for date values. */
export function readSignals(
  status: number,
  headers: Headers,
  names: SignalNames,
  wallClock: () => number = Date.now,
): AnswerSignals {
  const limit = lastValue(headers[names.serverLimit]);
  const leaving = lastValue(headers[names.serverLeaving]);
  const retryAfter = RETRY_AFTER_STATUSES.has(status) ? lastValue(headers[names.retryAfter]) : undefined;
  const cold = lastValue(headers[names.serverCold]);
  if ([limit, leaving, retryAfter, cold].every((text) => text === undefined)) return NO_SIGNALS;
  const limitPerSecond = parseDecimal(limit);
  const retryAfterMilliseconds = parseRetryAfter(retryAfter, wallClock);
  const coldMilliseconds = parseDecimal(cold);
  const unreadable = [
    ...describeInvalid(names.serverLimit, limit, limitPerSecond),
    ...describeInvalid(names.retryAfter, retryAfter, retryAfterMilliseconds),
    ...describeInvalid(names.serverCold, cold, coldMilliseconds),
  ];
  return {
    limitPerSecond,
    leaving: leaving === LEAVING_VALUE,
    retryAfterMilliseconds: retryAfterMilliseconds ?? 0,
    coldMilliseconds: coldMilliseconds ?? 0,
    unreadable: unreadable.at(0)?.slice(0, MAX_LOGGED_CHARACTERS),
  };
}

/** Returns the header as `name: value` if it is present but could not be parsed. */
function describeInvalid(name: string, text: string | undefined, value: number | undefined): string[] {
  return text !== undefined && value === undefined ? [`${name}: ${text}`] : [];
}

/** Returns the last value of a header that may be repeated. */
function lastValue(value: string | string[] | undefined): string | undefined {
  return (Array.isArray(value) ? value.at(-1) : value)?.trim();
}

function parseDecimal(text: string | undefined): number | undefined {
  const value = text !== undefined && DECIMAL.test(text) ? Number(text) : Number.NaN;
  return Number.isFinite(value) ? value : undefined;
}

/** Parses Retry-After into milliseconds; undefined when the value is invalid. */
function parseRetryAfter(text: string | undefined, wallClock: () => number): number | undefined {
  if (text === undefined) return undefined;
  const seconds = parseDecimal(text);
  const milliseconds =
    seconds === undefined ? millisecondsUntilDate(text, wallClock) : seconds * MILLISECONDS_PER_SECOND;
  if (milliseconds === undefined) return undefined;
  return Math.min(MAX_RETRY_AFTER_MILLISECONDS, Math.max(0, milliseconds));
}

/** Milliseconds until an HTTP date. `Date.parse` accepts more formats, so require the GMT suffix. */
function millisecondsUntilDate(text: string, wallClock: () => number): number | undefined {
  const date = text.endsWith(' GMT') ? Date.parse(text) : Number.NaN;
  return Number.isNaN(date) ? undefined : date - wallClock();
}
