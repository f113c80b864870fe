/** Checks the records of callers and backend servers against the promises of docs/PROMISES.md. */
import type { Execution } from '../standins/platformRunnerOptions.js';
import { CRASH_BODY } from '../standins/platformRunnerHarm.js';
import type { Period } from './appliedConfigurations.js';
import { AppliedConfigurations } from './appliedConfigurations.js';
import type { Call } from './callerLog.js';
import type { CrowdChecks } from './crowdChecks.js';
import type { FaultScope } from './faultKinds.js';
import type { LeavingChecks } from './leavingChecks.js';
import type { LocalityChecks } from './localityChecks.js';
import type { Breach, PromiseName } from './promiseNames.js';
import type { SignalChecks } from './signalChecks.js';

/** The period of a fault. */
type FaultWindow = Period;

/** The period of a planned stop of an entry. */
interface EntryStop extends FaultWindow {
  /** The address for callers, host:port. */
  entry: string;
}

/** When a version of the weights was announced, in wall clock milliseconds. */
interface VersionAnnouncement {
  version: number;
  at: number;
}

/** History of requests with a body, or a part of their prompts, that crashes every server which runs them. */
interface CrashingRequestRecord {
  /** Times of the crashes, in wall clock milliseconds. */
  crashes: number[];
  runs: number;
  /** Runs after all entries should have known about the request. */
  lateRuns: number;
}

/** Added to each time bound, since timers are late on a loaded machine. */
const SLACK_MILLISECONDS = 500;
/** Time bounds apply again this long after a fault. */
const RECOVERY_MILLISECONDS = 3_000;
/** Number of crashes by one body, or by one part of prompts, after which entries must stop forwarding it. */
const CRASHES_UNTIL_KNOWN = { body: 3, part: 5 };
/** Runs that are allowed once all entries should know about the request. */
const MAX_LATE_RUNS = 3;
const MAX_BREACHES = 50;
const NOT_FOUND = 404;

/** Time bounds of the promises. */
export interface CheckBounds {
  versionMilliseconds: number;
  drainMilliseconds: number;
  configurationMilliseconds: number;
}

/** Records the events of a soak and collects the broken promises. */
export class PromiseChecks {
  readonly breaches: Breach[] = [];
  readonly configurations = new AppliedConfigurations();
  private readonly _bounds: CheckBounds;
  private readonly _calls = new Map<string, Call>();
  private readonly _executions = new Map<string, Execution[]>();
  private readonly _sentIds = new Set<string>();
  private readonly _faults: (FaultWindow & { scope: FaultScope })[] = [];
  private readonly _stops: EntryStop[] = [];
  private readonly _announcedVersions: VersionAnnouncement[] = [];
  private readonly _drainingSince = new Map<string, number>();
  /** Requests that crash servers, by body or by part of their prompts. */
  private readonly _crashingRequests = new Map<string, CrashingRequestRecord>();

  constructor(bounds: CheckBounds) {
    this._bounds = bounds;
  }

  /** Requests that have ended for their callers. */
  get calls(): readonly Call[] {
    return [...this._calls.values()];
  }

  /** A caller is about to send a request. */
  onSending(id: string): void {
    this._sentIds.add(id);
  }

  /** A request has ended for its caller. */
  onCall(call: Call): void {
    this._calls.set(call.id, call);
    if (call.answerError !== undefined)
      this._breach('answer', `${call.kind} ${call.id} at ${call.entry}: ${call.answerError}`);
    this._checkOnce(call.id);
    if (call.configuredAt !== undefined) this._checkConfiguration(call, call.configuredAt);
  }

  /** A server has begun to work on a request. */
  onExecution(execution: Execution): void {
    const earlier = this._executions.get(execution.id) ?? [];
    this._executions.set(execution.id, [...earlier, execution]);
    if (!this._sentIds.has(execution.id)) this._breach('asked', `nobody sent ${execution.id}`);
    this._checkOnce(execution.id);
    if (execution.isIntact === false)
      this._breach('whole', `${execution.id} ran at ${execution.runner} on layers taken from corrupt chunks`);
    this._checkVersion(execution);
    this._checkDraining(execution);
    if (execution.harm !== undefined) this._checkCrashing(execution, execution.harm);
  }

  /** A body, or a part of a prompt, has crashed a server. */
  onCrash(harm: string): void {
    this._crashingRequest(harm).crashes.push(Date.now());
  }

  /** Totals over all requests that crash servers. */
  get crashing(): { requests: number; crashes: number; runs: number } {
    const all = [...this._crashingRequests.values()];
    const crashes = all.reduce((sum, request) => sum + request.crashes.length, 0);
    return { requests: all.length, crashes, runs: all.reduce((sum, request) => sum + request.runs, 0) };
  }

  onIncompleteVersion(runner: string, version: number): void {
    this._breach('whole', `${runner} activated an incomplete version ${version}`);
  }

  /** A fault begins; the returned function ends it. */
  onFault(scope: FaultScope = 'all'): () => void {
    const fault = { scope, from: Date.now(), until: Number.POSITIVE_INFINITY };
    this._faults.push(fault);
    return () => (fault.until = Date.now());
  }

  /** An entry has been asked to stop; the returned function must be called when it has exited. */
  onStopping(entry: string): () => void {
    const stop = { entry, from: Date.now(), until: Number.POSITIVE_INFINITY };
    this._stops.push(stop);
    return () => (stop.until = Date.now());
  }

  /** A newer version of the weights has been written to the store. */
  onVersionAnnounced(version: number): void {
    this._announcedVersions.push({ version, at: Date.now() });
  }

  /** A server has announced its drain in the store. */
  onDraining(runner: string): void {
    this._drainingSince.set(runner, Date.now());
  }

  /** Reports requests that planned operations failed. `wasRead` tells whether an entry has read a request. */
  checkPlanned(wasRead: (id: string) => boolean): void {
    for (const call of this._calls.values()) {
      if (call.kind === 'newest' || (call.outcome !== 'cut' && call.outcome !== 'failed')) continue;
      if (this._overlapsFault(call.sentAt, call.endedAt)) continue;
      if (this._wasResetByStop(call) && !wasRead(call.id)) continue;
      this._breach('planned', `${call.kind} ${call.id} at ${call.entry}: ${call.outcome} ${call.status}`);
    }
  }

  /** Checks that at least `minShare` of the requests sent from `at` on, after the last fault, were served. */
  checkRecovery(at: number, minShare: number): void {
    const late = [...this._calls.values()].filter(
      (call) => call.sentAt >= at && call.outcome !== 'left' && call.kind !== 'newest',
    );
    const served = late.filter((call) => call.outcome === 'whole').length;
    if (late.length === 0 || served / late.length < minShare)
      this._breach('recovery', `${served} of ${late.length} served after the last fault`);
  }

  /** Checks that entries obeyed the limits, drain notices and Retry-After of servers. */
  checkSignals(signals: SignalChecks): void {
    const blockingFaults = this._faults.filter(({ scope }) => scope === 'all');
    signals.check(
      {
        findCall: (id) => this._calls.get(id),
        overlapsFault: (from, until) => this._overlapsFault(from, until),
        mayBeDelayed: (from, until) => this._overlapsFault(from, until, blockingFaults),
        drainMilliseconds: this._bounds.drainMilliseconds,
      },
      (promise, what) => this._breach(promise, what),
    );
  }

  /** Checks where requests ran. */
  checkLocality(locality: LocalityChecks): void {
    locality.check({ isExcused: (since, at, bound) => this._isExcused(since, at, bound) }, (promise, what) =>
      this._breach(promise, what),
    );
  }

  /** Checks the requests to leaving entries. */
  checkLeaving(leaving: LeavingChecks): void {
    leaving.check(
      {
        hasRun: (id) => this._executions.has(id),
        overlapsFault: (from, until) => this._overlapsFault(from, until),
      },
      (what) => this._breach('leaving', what),
    );
  }

  /** Checks what entries used, and whether callers got answers beside crowds. */
  checkCrowds(crowds: CrowdChecks): void {
    crowds.check(
      { calls: this.calls, overlapsFault: (from, until) => this._overlapsFault(from, until) },
      (promise, what) => this._breach(promise, what),
    );
  }

  /** A promise that other checks watch is broken. */
  onBreach(promise: PromiseName, what: string): void {
    this._breach(promise, what);
  }

  private _checkOnce(id: string): void {
    const call = this._calls.get(id);
    const executions = this._executions.get(id) ?? [];
    const isOnce = call?.kind === 'once' || executions.some(({ path }) => path.startsWith('/turns/'));
    if (!isOnce) return;
    const where = executions.map(({ runner }) => runner).join(', ');
    if (executions.length > 1) this._breach('once', `${id} ran ${executions.length} times: ${where}`);
    if (call?.outcome === 'refused' && executions.length > 0)
      this._breach('not-run', `${id} was refused with ${call.status} and ran at ${where}`);
  }

  private _checkVersion({ version, at, runner, id }: Execution): void {
    if (version === 0) return;
    const newer = this._announcedVersions.find((announced) => announced.version > version);
    if (!newer || at - newer.at < this._bounds.versionMilliseconds + SLACK_MILLISECONDS) return;
    if (this._overlapsFault(newer.at, at)) return;
    this._breach(
      'version',
      `${id} started on version ${version} at ${runner}, ${at - newer.at} ms after ${newer.version} was announced`,
    );
  }

  private _checkConfiguration(call: Call, configuredAt: number): void {
    const { entry, status, sentAt, endedAt, id } = call;
    if (status === 200) this.configurations.onApplied(entry, configuredAt);
    if (status !== NOT_FOUND) return;
    const age = sentAt - configuredAt;
    const isLate = age > this._bounds.configurationMilliseconds + SLACK_MILLISECONDS;
    const rollbacks = this._faults.filter(({ scope }) => scope === 'rollback');
    if (this.configurations.mustBeInForce(entry, configuredAt, rollbacks))
      this._breach('configuration', `${id}: ${entry} reverted the configuration`);
    else if (isLate && !this._isExcused(configuredAt, endedAt, this._bounds.configurationMilliseconds))
      this._breach('configuration', `${id}: not in force at ${entry} after ${age} ms`);
  }

  private _checkDraining({ runner, at, id }: Execution): void {
    const since = this._drainingSince.get(runner);
    if (since === undefined || at - since < this._bounds.drainMilliseconds + SLACK_MILLISECONDS) return;
    if (this._isExcused(since, at, this._bounds.drainMilliseconds)) return;
    this._breach('draining', `${id} started at ${runner}, ${at - since} ms after it began to drain`);
  }

  private _checkCrashing({ runner, at, id }: Execution, harm: string): void {
    const request = this._crashingRequest(harm);
    request.runs++;
    const crashesUntilKnown = CRASHES_UNTIL_KNOWN[harm.startsWith(CRASH_BODY) ? 'body' : 'part'];
    const knownSince = request.crashes[crashesUntilKnown - 1];
    if (knownSince === undefined || at - knownSince < RECOVERY_MILLISECONDS + SLACK_MILLISECONDS) return;
    const faults = this._faults.filter(({ scope }) => scope !== 'servers' && scope !== 'rollback');
    if (this._overlapsFault(knownSince, at, faults)) return;
    request.lateRuns++;
    if (request.lateRuns > MAX_LATE_RUNS)
      this._breach(
        'crashing',
        `${id} ran at ${runner}, ${at - knownSince} ms after crash ${crashesUntilKnown} by ${harm}`,
      );
  }

  private _crashingRequest(harm: string): CrashingRequestRecord {
    const request = this._crashingRequests.get(harm) ?? { crashes: [], runs: 0, lateRuns: 0 };
    this._crashingRequests.set(harm, request);
    return request;
  }

  /**
   * Whether the kernel may have reset a connection that was waiting in the accept queue when its entry stopped
   * listening. The caller sees an open connection, but the entry has never seen it.
   */
  private _wasResetByStop({ id, entry, outcome, status, onNewConnection, endedAt }: Call): boolean {
    const isReset = outcome === 'cut' && status === 0 && onNewConnection;
    const ran = this._executions.has(id);
    const stopped = this._stops.some(
      (stop) => stop.entry === entry && stop.from <= endedAt && endedAt <= stop.until,
    );
    return isReset && !ran && stopped;
  }

  /**
   * Whether faults excuse an entry that at the time `at` does not yet act on a record written at `since`. A record
   * that all entries have read (within `bound`) before the store was rolled back must still be obeyed afterwards, even
   * if the snapshot lacks it.
   */
  private _isExcused(since: number, at: number, bound: number): boolean {
    const others = this._faults.filter(({ scope }) => scope !== 'rollback');
    const rollbacks = this._faults.filter(({ scope }) => scope === 'rollback');
    const isLost = rollbacks.some(
      ({ from, until }) =>
        since + bound + SLACK_MILLISECONDS >= from && since <= until + RECOVERY_MILLISECONDS,
    );
    return isLost || this._overlapsFault(since, at, others);
  }

  private _overlapsFault(
    from: number,
    until: number,
    faults: readonly FaultWindow[] = this._faults,
  ): boolean {
    return faults.some((fault) => fault.from <= until && fault.until + RECOVERY_MILLISECONDS >= from);
  }

  private _breach(promise: PromiseName, what: string): void {
    if (this.breaches.length < MAX_BREACHES) this.breaches.push({ promise, what });
  }
}
