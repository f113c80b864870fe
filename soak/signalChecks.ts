/** Checks that the entries together heed what servers say of themselves in their answers: limits, leaves and Retry-After. */
import type { Arrival, SentSignals } from '../standins/platformRunnerSignals.js';
import type { BreachListener } from './promiseChecks.js';

/** What the checks need of callers and faults; times in wall clock milliseconds. */
export interface SignalContext {
  /** The entry that a caller sent a request to, and when; undefined where that is not known. */
  callOf: (id: string) => { entry: string; sentAt: number } | undefined;
  /** Whether processes or links were harmed in this time, or shortly before. */
  isHarmed: (from: number, until: number) => boolean;
  /** Whether links were harmed or processes stood still, so that requests may have lain on their way. */
  isHeldUp: (from: number, until: number) => boolean;
  drainMilliseconds: number;
}

/** A server that says something of itself, from when on and until when. */
interface LimitTime {
  runner: string;
  perSecond: number;
  from: number;
  until: number;
}

const WINDOW_MILLISECONDS = 4_000;
const WINDOW_FACTOR = 1.5;
const WINDOW_SLACK = 5;
/** From the first naming of a limit until it has to be kept. */
const CONTACT_MILLISECONDS = 3_000;
/** A Retry-After has to be kept from so long after it was given, but for so many requests. */
const RETRY_AFTER_DELAY_MILLISECONDS = 500;
const MOST_WITHIN_RETRY_AFTER = 2;
/** Timers and processors of a loaded machine. */
const SLACK_MILLISECONDS = 500;

export class SignalChecks {
  private readonly _arrivals = new Map<string, Arrival[]>();
  private readonly _leaves = new Map<string, number>();
  private readonly _rejections: SentSignals[] = [];
  private readonly _limits: LimitTime[] = [];

  onArrival(arrival: Arrival): void {
    const known = this._arrivals.get(arrival.runner) ?? [];
    known.push(arrival);
    this._arrivals.set(arrival.runner, known);
  }

  /** A server has said something of itself in an answer. */
  onSpoken(spoken: SentSignals): void {
    const { runner, at, leaving, retryAfterMilliseconds } = spoken;
    if (leaving && !this._leaves.has(runner)) this._leaves.set(runner, at);
    if (retryAfterMilliseconds > 0) this._rejections.push(spoken);
    if (spoken.limitPerSecond !== undefined) this._noteLimit(runner, spoken.limitPerSecond, at);
  }

  /** A server names no limit any more. */
  onLimitLifted(runner: string): void {
    const open = this._limits.find((limit) => limit.runner === runner && limit.until === Infinity);
    if (open) open.until = Date.now();
  }

  check(context: SignalContext, breach: BreachListener): void {
    for (const limit of this._limits) this._checkLimit(limit, context, breach);
    for (const [runner, at] of this._leaves) this._checkLeave(runner, at, context, breach);
    for (const rejection of this._rejections) this._checkRetryAfter(rejection, context, breach);
  }

  private _noteLimit(runner: string, perSecond: number, at: number): void {
    const isKnown = this._limits.some((limit) => limit.runner === runner && limit.until === Infinity);
    if (!isKnown) this._limits.push({ runner, perSecond, from: at, until: Infinity });
  }

  /** Stricter than what is promised: entries count that have not been told by an answer of their own. */
  private _checkLimit(
    { runner, perSecond, from, until }: LimitTime,
    context: SignalContext,
    breach: BreachListener,
  ): void {
    const begin = from + CONTACT_MILLISECONDS;
    const times = (this._arrivals.get(runner) ?? [])
      .map(({ at }) => at)
      .filter((at) => at >= begin && at <= until);
    const allowed = WINDOW_FACTOR * perSecond * (WINDOW_MILLISECONDS / 1_000) + WINDOW_SLACK;
    for (const start of times) {
      const got = times.filter((at) => at >= start && at < start + WINDOW_MILLISECONDS).length;
      if (got <= allowed || context.isHeldUp(start - CONTACT_MILLISECONDS, start + WINDOW_MILLISECONDS))
        continue;
      return breach(
        'limit',
        `${runner} got ${got} requests in 4 s, ${start - from} ms after it named ${perSecond} a second`,
      );
    }
  }

  private _checkLeave(runner: string, since: number, context: SignalContext, breach: BreachListener): void {
    const bound = since + context.drainMilliseconds + SLACK_MILLISECONDS;
    const late = (this._arrivals.get(runner) ?? []).filter(({ id, at }) => {
      const sentAt = context.callOf(id)?.sentAt ?? 0;
      return sentAt > bound && !context.isHarmed(since, at);
    });
    if (late.length === 0) return;
    const after = late[0].at - since;
    breach(
      'draining',
      `${late.length} requests reached ${runner}, the first ${after} ms after it said that it leaves`,
    );
  }

  private _checkRetryAfter(
    { runner, id, at, retryAfterMilliseconds }: SentSignals,
    context: SignalContext,
    breach: BreachListener,
  ): void {
    const entry = context.callOf(id)?.entry;
    if (entry === undefined || context.isHarmed(at, at + retryAfterMilliseconds)) return;
    const got = (this._arrivals.get(runner) ?? []).filter(
      (arrival) =>
        arrival.at > at + RETRY_AFTER_DELAY_MILLISECONDS &&
        arrival.at < at + retryAfterMilliseconds &&
        context.callOf(arrival.id)?.entry === entry,
    );
    if (got.length > MOST_WITHIN_RETRY_AFTER)
      breach(
        'retry-after',
        `${runner} got ${got.length} requests of ${entry} in ${retryAfterMilliseconds} ms of Retry-After`,
      );
  }
}
