/**
 * Checks that the entries together obey the signals of servers: limits, warm-ups, drain notices and Retry-After.
 */
import type { Arrival, SentSignals } from '../standins/platformRunnerSignals.js';
import type { BreachListener } from './promiseNames.js';
import { COLD_PER_SECOND } from './soakConfiguration.js';

/** What the checks need to know about callers and faults. Times are in wall clock milliseconds. */
export interface SignalContext {
  /** Returns the entry that a request was sent to and when, or undefined if the request is unknown. */
  findCall: (id: string) => { entry: string; sentAt: number } | undefined;
  /** Whether a fault was active in this period or shortly before. */
  overlapsFault: (from: number, until: number) => boolean;
  /** Whether a link fault or a paused process may have delayed requests in flight. */
  mayBeDelayed: (from: number, until: number) => boolean;
  drainMilliseconds: number;
}

/** The period in which a server announces a limit. */
interface LimitPeriod {
  runner: string;
  perSecond: number;
  from: number;
  until: number;
}

/** Limits are checked over sliding windows of this length. */
const WINDOW_MILLISECONDS = 4_000;
/** In a window a server may get this multiple of its limit, plus the slack. */
const WINDOW_FACTOR = 1.5;
const WINDOW_SLACK_REQUESTS = 5;
/** A limit has to be obeyed this long after its first announcement. */
const LIMIT_GRACE_MILLISECONDS = 3_000;
/** The rate of a cold server is checked over sliding windows of this length, with the same factor and slack. */
const COLD_WINDOW_MILLISECONDS = 1_000;
/** A cold server's rate has to be obeyed this long after it has become cold. */
const COLD_GRACE_MILLISECONDS = 2_000;
/** A Retry-After has to be obeyed this long after the answer that carried it. */
const RETRY_AFTER_GRACE_MILLISECONDS = 500;
/** Requests that an entry may still send during the Retry-After. */
const MAX_REQUESTS_WITHIN_RETRY_AFTER = 2;
/** Added to each time bound, since timers are late on a loaded machine. */
const SLACK_MILLISECONDS = 500;

/** Records the requests that reach servers and the signals in their answers. */
export class SignalChecks {
  private readonly _arrivals = new Map<string, Arrival[]>();
  private readonly _drainingSince = new Map<string, number>();
  private readonly _rejections: SentSignals[] = [];
  private readonly _limits: LimitPeriod[] = [];
  private readonly _coldPeriods: Omit<LimitPeriod, 'perSecond'>[] = [];

  /** A request has reached a server, which may still reject it. */
  onArrival(arrival: Arrival): void {
    const arrivals = this._arrivals.get(arrival.runner) ?? [];
    arrivals.push(arrival);
    this._arrivals.set(arrival.runner, arrivals);
  }

  /** A server has sent signals in the headers of an answer. */
  onSignals(signals: SentSignals): void {
    const { runner, at, leaving, retryAfterMilliseconds } = signals;
    if (leaving && !this._drainingSince.has(runner)) this._drainingSince.set(runner, at);
    if (retryAfterMilliseconds > 0) this._rejections.push(signals);
    if (signals.limitPerSecond !== undefined) this._recordLimit(runner, signals.limitPerSecond, at);
  }

  /** A server no longer announces a limit. */
  onLimitLifted(runner: string): void {
    const open = this._limits.find((limit) => limit.runner === runner && limit.until === Infinity);
    if (open) open.until = Date.now();
  }

  /** A server is cold from now on for this long. */
  onCold(runner: string, milliseconds: number): void {
    const from = Date.now();
    this._coldPeriods.push({ runner, from, until: from + milliseconds });
  }

  /** Reports all breaches. To be called at the end of a soak. */
  check(context: SignalContext, breach: BreachListener): void {
    for (const limit of this._limits) this._checkLimit(limit, context, breach);
    for (const period of this._coldPeriods) this._checkCold(period, context, breach);
    for (const [runner, at] of this._drainingSince) this._checkDrain(runner, at, context, breach);
    for (const rejection of this._rejections) this._checkRetryAfter(rejection, context, breach);
  }

  private _recordLimit(runner: string, perSecond: number, at: number): void {
    const isKnown = this._limits.some((limit) => limit.runner === runner && limit.until === Infinity);
    if (!isKnown) this._limits.push({ runner, perSecond, from: at, until: Infinity });
  }

  /**
   * Stricter than the promise: also counts requests of entries that have not received the limit in an answer
   * themselves.
   */
  private _checkLimit(
    { runner, perSecond, from, until }: LimitPeriod,
    context: SignalContext,
    breach: BreachListener,
  ): void {
    const begin = from + LIMIT_GRACE_MILLISECONDS;
    const times = (this._arrivals.get(runner) ?? [])
      .map(({ at }) => at)
      .filter((at) => at >= begin && at <= until);
    const allowed = WINDOW_FACTOR * perSecond * (WINDOW_MILLISECONDS / 1_000) + WINDOW_SLACK_REQUESTS;
    for (const start of times) {
      const got = times.filter((at) => at >= start && at < start + WINDOW_MILLISECONDS).length;
      if (
        got <= allowed ||
        context.mayBeDelayed(start - LIMIT_GRACE_MILLISECONDS, start + WINDOW_MILLISECONDS)
      )
        continue;
      return breach(
        'limit',
        `${runner} got ${got} requests in 4 s, ${start - from} ms after it announced a limit of ${perSecond} a second`,
      );
    }
  }

  private _checkCold(
    { runner, from, until }: Omit<LimitPeriod, 'perSecond'>,
    context: SignalContext,
    breach: BreachListener,
  ): void {
    const begin = from + COLD_GRACE_MILLISECONDS;
    const times = (this._arrivals.get(runner) ?? [])
      .map(({ at }) => at)
      .filter((at) => at >= begin && at <= until);
    const allowed = WINDOW_FACTOR * COLD_PER_SECOND + WINDOW_SLACK_REQUESTS;
    for (const start of times) {
      const end = start + COLD_WINDOW_MILLISECONDS;
      const got = times.filter((at) => at >= start && at < end).length;
      if (got <= allowed || context.mayBeDelayed(start - COLD_GRACE_MILLISECONDS, end)) continue;
      return breach('cold', `${runner} got ${got} requests in 1 s, ${start - from} ms after it became cold`);
    }
  }

  private _checkDrain(runner: string, since: number, context: SignalContext, breach: BreachListener): void {
    const bound = since + context.drainMilliseconds + SLACK_MILLISECONDS;
    const late = (this._arrivals.get(runner) ?? []).filter(({ id, at }) => {
      const sentAt = context.findCall(id)?.sentAt ?? 0;
      return sentAt > bound && !context.overlapsFault(since, at);
    });
    if (late.length === 0) return;
    const after = late[0].at - since;
    breach(
      'draining',
      `${late.length} requests reached ${runner}, the first ${after} ms after it announced its drain`,
    );
  }

  private _checkRetryAfter(
    { runner, id, at, retryAfterMilliseconds }: SentSignals,
    context: SignalContext,
    breach: BreachListener,
  ): void {
    const entry = context.findCall(id)?.entry;
    if (entry === undefined || context.overlapsFault(at, at + retryAfterMilliseconds)) return;
    const got = (this._arrivals.get(runner) ?? []).filter(
      (arrival) =>
        arrival.at > at + RETRY_AFTER_GRACE_MILLISECONDS &&
        arrival.at < at + retryAfterMilliseconds &&
        context.findCall(arrival.id)?.entry === entry,
    );
    if (got.length > MAX_REQUESTS_WITHIN_RETRY_AFTER)
      breach(
        'retry-after',
        `${runner} got ${got.length} requests from ${entry} in ${retryAfterMilliseconds} ms of Retry-After`,
      );
  }
}
