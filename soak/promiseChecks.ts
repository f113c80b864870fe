/** Checks what callers and backend servers have seen against the promises of docs/PROMISES.md. */
import type { Execution } from '../standins/platformRunnerOptions.js';
import { CRASH_BODY } from '../standins/platformRunnerStandin.js';
import type { Call } from './callerLog.js';
import type { SignalChecks } from './signalChecks.js';

export type PromiseName =
  | 'answer' // every caller gets the whole answer to its own request
  | 'once' // what may run once runs once
  | 'not-run' // a refusal is true
  | 'asked' // nothing runs that nobody asked for, or for another customer
  | 'whole' // no server takes an unwhole version
  | 'version' // no request begins on an older version after the bound
  | 'configuration' // a configuration is in force in time, and stays
  | 'draining' // a leaving server gets nothing new
  | 'limit' // a server gets no more requests than it has said it takes
  | 'retry-after' // an entry keeps to the Retry-After of a server
  | 'crashing' // a request that ends each server which runs it is kept from them
  | 'planned' // planned work cuts nothing
  | 'ends' // no process ends by itself
  | 'recovery'; // requests are served again once faults are over

/** A promise that was broken. */
export interface Breach {
  promise: PromiseName;
  what: string;
}

/** Hears of broken promises. */
export type BreachListener = (promise: PromiseName, what: string) => void;

/** A time in which something was harmed, in wall clock milliseconds. */
interface Harm {
  from: number;
  until: number;
}

/**
 * What a harm strikes. Entries stay in touch with all else while servers end under a request; processes that end hold no request up;
 * the `copy` from which the store comes back lacks what was told lately, and nothing else.
 */
export type Harmed = 'all' | 'servers' | 'processes' | 'copy';

/** A planned stop of an entry. */
interface Stop extends Harm {
  /** Where callers reach it, host:port. */
  entry: string;
}

/** What the bound of a version or a leaving server runs from. */
interface Announcement {
  version: number;
  at: number;
}

/** What has come of a request that ends each server which runs it. */
interface CrashingRequest {
  /** When a server ended, in wall clock milliseconds. */
  crashes: number[];
  runs: number;
  lateRuns: number;
}

/** Beyond the bounds themselves: timers and processors of a loaded machine. */
const SLACK_MILLISECONDS = 500;
/** After a harm, processes are held to bounds in time again. */
const CONTACT_MILLISECONDS = 3_000;
/** Ends of servers after which a request that ends them is known for it, and runs that it may have once all know. */
const TELLING_CRASHES = 3;
const MOST_LATE_RUNS = 3;
const MOST_BREACHES = 50;
const NOT_FOUND = 404;

/** Bounds in milliseconds. */
export interface CheckBounds {
  versionMilliseconds: number;
  drainMilliseconds: number;
  configurationMilliseconds: number;
}

export class PromiseChecks {
  readonly breaches: Breach[] = [];
  private readonly _bounds: CheckBounds;
  private readonly _calls = new Map<string, Call>();
  private readonly _executions = new Map<string, Execution[]>();
  private readonly _asked = new Set<string>();
  private readonly _harms: (Harm & { harmed: Harmed })[] = [];
  private readonly _stops: Stop[] = [];
  private readonly _named: Announcement[] = [];
  /** Configurations that an entry was seen to have, by entry and the time at which they came. */
  private readonly _inForce = new Set<string>();
  private readonly _leaving = new Map<string, number>();
  /** Requests that end servers, by their bodies. */
  private readonly _crashing = new Map<string, CrashingRequest>();

  constructor(bounds: CheckBounds) {
    this._bounds = bounds;
  }

  /** Calls that have ended. */
  get calls(): readonly Call[] {
    return [...this._calls.values()];
  }

  /** A caller is about to send a request. */
  onAsked(id: string): void {
    this._asked.add(id);
  }

  onCall(call: Call): void {
    this._calls.set(call.id, call);
    if (call.wrong !== undefined)
      this._breach('answer', `${call.kind} ${call.id} at ${call.entry}: ${call.wrong}`);
    this._checkOnce(call.id);
    if (call.configuredAt !== undefined) this._checkConfiguration(call, call.configuredAt);
  }

  onExecution(execution: Execution): void {
    const known = this._executions.get(execution.id) ?? [];
    this._executions.set(execution.id, [...known, execution]);
    if (!this._asked.has(execution.id)) this._breach('asked', `nobody sent ${execution.id}`);
    this._checkOnce(execution.id);
    this._checkVersion(execution);
    this._checkLeaving(execution);
    if (execution.body.startsWith(CRASH_BODY)) this._checkCrashing(execution);
  }

  /** A server has ended under the request with this body. */
  onCrash(body: string): void {
    this._crashingOf(body).crashes.push(Date.now());
  }

  /** How many servers have ended under requests, and how often such requests have run. */
  get crashing(): { requests: number; crashes: number; runs: number } {
    const all = [...this._crashing.values()];
    const crashes = all.reduce((sum, request) => sum + request.crashes.length, 0);
    return { requests: all.length, crashes, runs: all.reduce((sum, request) => sum + request.runs, 0) };
  }

  onUnwhole(runner: string, version: number): void {
    this._breach('whole', `${runner} took version ${version} unwhole`);
  }

  /** Something is harmed from now on; the returned function ends it. */
  onHarm(harmed: Harmed = 'all'): () => void {
    const harm = { harmed, from: Date.now(), until: Number.POSITIVE_INFINITY };
    this._harms.push(harm);
    return () => (harm.until = Date.now());
  }

  /** An entry has been asked to stop; the returned function notes its end. */
  onStopping(entry: string): () => void {
    const stop = { entry, from: Date.now(), until: Number.POSITIVE_INFINITY };
    this._stops.push(stop);
    return () => (stop.until = Date.now());
  }

  onNamed(version: number): void {
    this._named.push({ version, at: Date.now() });
  }

  onLeaving(runner: string): void {
    this._leaving.set(runner, Date.now());
  }

  /** Requests that planned work ended without an answer. `wasRead` tells whether an entry knows of a request. */
  checkPlanned(wasRead: (id: string) => boolean): void {
    for (const call of this._calls.values()) {
      if (call.kind === 'newest' || (call.end !== 'cut' && call.end !== 'failed')) continue;
      if (this._isHarmed(call.sentAt, call.endedAt)) continue;
      if (this._crossedStop(call) && !wasRead(call.id)) continue;
      this._breach('planned', `${call.kind} ${call.id} at ${call.entry}: ${call.end} ${call.status}`);
    }
  }

  /** Requests sent from `at` on, when nothing is harmed any more, are served. */
  checkRecovery(at: number, leastShare: number): void {
    const late = [...this._calls.values()].filter(
      (call) => call.sentAt >= at && call.end !== 'left' && call.kind !== 'newest',
    );
    const served = late.filter((call) => call.end === 'whole').length;
    if (late.length === 0 || served / late.length < leastShare)
      this._breach('recovery', `${served} of ${late.length} served after all faults`);
  }

  /** What entries were told by servers, and whether they heeded it. */
  checkSignals(signals: SignalChecks): void {
    const links = this._harms.filter(({ harmed }) => harmed === 'all');
    signals.check(
      {
        callOf: (id) => this._calls.get(id),
        isHarmed: (from, until) => this._isHarmed(from, until),
        isHeldUp: (from, until) => this._isHarmed(from, until, links),
        drainMilliseconds: this._bounds.drainMilliseconds,
      },
      (promise, what) => this._breach(promise, what),
    );
  }

  /** A process that ended by itself. */
  onOwnEnd(name: string): void {
    this._breach('ends', name);
  }

  private _checkOnce(id: string): void {
    const call = this._calls.get(id);
    const executions = this._executions.get(id) ?? [];
    const isOnce = call?.kind === 'once' || executions.some(({ path }) => path.startsWith('/turns/'));
    if (!isOnce) return;
    const where = executions.map(({ runner }) => runner).join(', ');
    if (executions.length > 1) this._breach('once', `${id} ran ${executions.length} times: ${where}`);
    if (call?.end === 'refused' && executions.length > 0)
      this._breach('not-run', `${id} was refused with ${call.status} and ran at ${where}`);
  }

  private _checkVersion({ version, at, runner, id }: Execution): void {
    if (version === 0) return;
    const newer = this._named.find((named) => named.version > version);
    if (!newer || at - newer.at < this._bounds.versionMilliseconds + SLACK_MILLISECONDS) return;
    if (this._isHarmed(newer.at, at)) return;
    this._breach(
      'version',
      `${id} began on ${version} at ${runner}, ${at - newer.at} ms after ${newer.version}`,
    );
  }

  private _checkConfiguration(call: Call, configuredAt: number): void {
    const { entry, status, sentAt, endedAt, id } = call;
    const key = `${entry} ${configuredAt}`;
    if (status === 200) this._inForce.add(key);
    if (status !== NOT_FOUND) return;
    const age = sentAt - configuredAt;
    const isLate = age > this._bounds.configurationMilliseconds + SLACK_MILLISECONDS;
    if (this._inForce.has(key)) this._breach('configuration', `${id}: ${entry} went back`);
    else if (isLate && !this._isExcused(configuredAt, endedAt, this._bounds.configurationMilliseconds))
      this._breach('configuration', `${id}: not in force at ${entry} after ${age} ms`);
  }

  private _checkLeaving({ runner, at, id }: Execution): void {
    const since = this._leaving.get(runner);
    if (since === undefined || at - since < this._bounds.drainMilliseconds + SLACK_MILLISECONDS) return;
    if (this._isExcused(since, at, this._bounds.drainMilliseconds)) return;
    this._breach('draining', `${id} began at ${runner}, ${at - since} ms after it was leaving`);
  }

  private _checkCrashing({ body, runner, at, id }: Execution): void {
    const request = this._crashingOf(body);
    request.runs++;
    const known = request.crashes[TELLING_CRASHES - 1];
    if (known === undefined || at - known < CONTACT_MILLISECONDS + SLACK_MILLISECONDS) return;
    const all = this._harms.filter(({ harmed }) => harmed !== 'servers' && harmed !== 'copy');
    if (this._isHarmed(known, at, all)) return;
    request.lateRuns++;
    if (request.lateRuns > MOST_LATE_RUNS)
      this._breach('crashing', `${id} ran at ${runner}, ${at - known} ms after the third end by its like`);
  }

  private _crashingOf(body: string): CrashingRequest {
    const request = this._crashing.get(body) ?? { crashes: [], runs: 0, lateRuns: 0 };
    this._crashing.set(body, request);
    return request;
  }

  /**
   * Whether the system may have reset a connection that still waited to be accepted as its entry stopped listening: the
   * caller sees an open connection, the entry never does.
   */
  private _crossedStop({ id, entry, end, status, onNewConnection, endedAt }: Call): boolean {
    const isReset = end === 'cut' && status === 0 && onNewConnection;
    const ran = this._executions.has(id);
    const stopped = this._stops.some(
      (stop) => stop.entry === entry && stop.from <= endedAt && endedAt <= stop.until,
    );
    return isReset && !ran && stopped;
  }

  /**
   * Whether a word of `since` need not be kept at `at`. What all had heard within `bound` before the store went holds on while it is
   * away and once it has come back from a copy that lacks it.
   */
  private _isExcused(since: number, at: number, bound: number): boolean {
    const others = this._harms.filter(({ harmed }) => harmed !== 'copy');
    const copies = this._harms.filter(({ harmed }) => harmed === 'copy');
    const isLost = copies.some(
      ({ from, until }) =>
        since + bound + SLACK_MILLISECONDS >= from && since <= until + CONTACT_MILLISECONDS,
    );
    return isLost || this._isHarmed(since, at, others);
  }

  private _isHarmed(from: number, until: number, harms: readonly Harm[] = this._harms): boolean {
    return harms.some((harm) => harm.from <= until && harm.until + CONTACT_MILLISECONDS >= from);
  }

  private _breach(promise: PromiseName, what: string): void {
    if (this.breaches.length < MOST_BREACHES) this.breaches.push({ promise, what });
  }
}
