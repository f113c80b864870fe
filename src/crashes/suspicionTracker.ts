/**
 * Which requests are suspected of ending the servers that run them, over all entries.
 *
 * When a server ends, all that it ran is suspected. A suspected request runs once at a time in the whole system, until it ends well
 * somewhere, which clears it, or has ended so many servers that it runs no more. Where the store is silent, this entry goes by what
 * it knows: it lets down nobody whose request may be good.
 */
import { isDeepStrictEqual } from 'node:util';
import { LRUCache } from 'lru-cache';
import type { RecordReplica } from '../records/recordReplica.js';
import type { UnreadableRecords } from '../records/unreadableRecords.js';
import type { WritableStore } from '../records/writableStore.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import { atMost } from '../utils/timers.js';
import { SuccessCredits } from './successCredits.js';
import type { ServerProcess } from './serverExitChecker.js';
import { ServerExitChecker } from './serverExitChecker.js';
import type { RunDecision } from './runDecision.js';
import { decideRun } from './runDecision.js';
import type { ServerExit, Suspicion } from './suspicion.js';
import { isExplained, isShutOut, withServerExit, withTrial, withoutTrial } from './suspicion.js';
import type { StoredSuspicion } from './suspicionCopies.js';
import { SuspicionCopies } from './suspicionCopies.js';
import { SuspicionRestorer } from './suspicionRestorer.js';
import type { SuspicionChange } from './suspicionWriter.js';
import { SuspicionWriter } from './suspicionWriter.js';

/** What the suspicions work with. */
export interface SuspicionTrackerOptions {
  /** This entry. */
  box: string;
  replica: RecordReplica;
  store: WritableStore;
  unreadable: UnreadableRecords;
  /** Whether this process is one of the few that read the store, and tidy it. */
  isReading: () => boolean;
  /** Whether the entry on a box is known to live: the trial of another one lasts no longer. */
  isLive: (box: string) => boolean;
  clock: Clock;
  random: Random;
  log: EventLog;
}

/** When the last end of a request became known. */
interface LastExit {
  ends: number;
  /** Monotonic milliseconds. */
  at: number;
}

/** How long a request waits for the store to take what it is told of it: callers of good requests wait as long. */
const WRITE_WAIT_MILLISECONDS = 250;
/**
 * A request that ends its servers does so soon after they begin to run it. A longer trial holds up no others, who may be many and
 * have done nothing.
 */
const MAX_TRIAL_MILLISECONDS = 3_000;
/** Nobody has come again with a suspected request for so long. */
const SUSPECTED_TTL_MILLISECONDS = 60_000;
const SHUT_OUT_TTL_MILLISECONDS = 24 * 3_600_000;
const CLEANUP_INTERVAL_MILLISECONDS = 10_000;
/** Beyond so many the servers end for another cause, as with their racks, and the store is spared. */
const MAX_SUSPICIONS = 1_000;
const MAX_PENDING = 200;
/** How often a request that waits looks whether the entry of the trial still lives. */
const RECHECK_INTERVAL_MILLISECONDS = 250;

export class SuspicionTracker {
  private readonly _options: SuspicionTrackerOptions;
  private readonly _copies: SuspicionCopies;
  private readonly _writer: SuspicionWriter;
  private readonly _restorer: SuspicionRestorer;
  private readonly _exitChecker: ServerExitChecker;
  private readonly _successCredits = new SuccessCredits();
  private readonly _lastExits = new LRUCache<string, LastExit>({ max: MAX_SUSPICIONS + MAX_PENDING });
  private readonly _waiting = new Map<string, Set<() => void>>();
  /** Requests of this process that have asked for a trial. */
  private readonly _claims = new Set<string>();
  private readonly _timer: NodeJS.Timeout;

  constructor(options: SuspicionTrackerOptions) {
    const { replica, unreadable, clock } = options;
    this._options = options;
    this._exitChecker = new ServerExitChecker(options.log);
    this._copies = new SuspicionCopies(replica, unreadable, clock);
    this._copies.on('change', (fingerprint, endsBefore) => this._onChange(fingerprint, endsBefore));
    this._writer = new SuspicionWriter({ ...options, kind: replica.kind, copies: this._copies });
    this._restorer = new SuspicionRestorer({ ...options, copies: this._copies, writer: this._writer });
    this._timer = setInterval(() => this._removeStale(), CLEANUP_INTERVAL_MILLISECONDS).unref();
  }

  /** Whether nothing is suspected, so that no request needs to be looked up. */
  get isEmpty(): boolean {
    return this._copies.size === 0 && this._writer.pending === 0;
  }

  /** Requests that are suspected, and those of them that run no more. */
  get counts(): { suspected: number; shutOut: number } {
    const suspicions = this._copies.all().flatMap(([, { suspicion }]) => suspicion ?? []);
    return { suspected: suspicions.length, shutOut: suspicions.filter(isShutOut).length };
  }

  /** How the same requests as `request` stand, for `request` itself. */
  runDecision(fingerprint: string, request: string): RunDecision {
    const suspicion = this._writer.get(fingerprint);
    const trial = suspicion?.trial;
    return decideRun({
      suspicion,
      request,
      ownsTrial: trial?.request === request && trial.box === this._options.box,
      isTrialExpired: trial?.request === this._expiredTrial(this._copies.get(fingerprint)),
      millisecondsSinceLastExit:
        this._options.clock.now() - (this._lastExits.get(fingerprint)?.at ?? Number.NEGATIVE_INFINITY),
      isExplainedByOthers:
        suspicion !== undefined && isShutOut(suspicion) && this._isExplained(fingerprint, suspicion),
    });
  }

  /** Whether the process of a server has ended that broke a connection off. Never rejects. */
  async hasExited(server: ServerProcess): Promise<boolean> {
    return await this._exitChecker.hasExited(server);
  }

  /** A server has ended that had the request. Resolves when that has been told, if it is to be, or soon after. */
  async noteServerExit(fingerprint: string, end: ServerExit): Promise<void> {
    const { log } = this._options;
    if (this._successCredits.spend(fingerprint))
      return log.decision('suspicion.spared', { fingerprint, ...end });
    const isFull = this._copies.size >= MAX_SUSPICIONS || this._writer.pending >= MAX_PENDING;
    if (isFull && !this._writer.get(fingerprint))
      return log.state('suspicion.not-kept', { fingerprint, server: end.server });
    const written = this._change(fingerprint, (suspicion) => withServerExit(suspicion, end));
    const ends = this._writer.get(fingerprint)?.ends.length ?? 0;
    this._recordExitCount(fingerprint, ends);
    log.decision('suspicion.end', { fingerprint, ...end, ends });
    await atMost(written, WRITE_WAIT_MILLISECONDS);
  }

  /** Asks for the trial of a suspected request; afterwards its standing tells whether it has it. */
  async claim(fingerprint: string, request: string, milliseconds: number): Promise<void> {
    const { box } = this._options;
    const expired = this._expiredTrial(this._copies.get(fingerprint));
    const trial = {
      box,
      request,
      milliseconds: Math.ceil(Math.min(milliseconds, MAX_TRIAL_MILLISECONDS)),
    };
    this._claims.add(request);
    const claimed = this._change(
      fingerprint,
      (suspicion) => suspicion && withTrial(suspicion, trial, expired),
    );
    await atMost(claimed, WRITE_WAIT_MILLISECONDS);
  }

  /** A trial is over, and its request may ask for another one. */
  endTrial(fingerprint: string, request: string): void {
    this._claims.delete(request);
    if (this._writer.get(fingerprint)?.trial?.request !== request) return;
    void this._change(fingerprint, (suspicion) => suspicion && withoutTrial(suspicion, request));
  }

  /** A request is over that has been at the end of a server, or asked for a trial. What it leaves behind is told to all. */
  release(fingerprint: string, request: string): void {
    this._claims.delete(request);
    if (!this._writer.get(fingerprint)) return;
    void this._writer.write(fingerprint, (suspicion) => suspicion && withoutTrial(suspicion, request));
  }

  /** The request has ended well: it does not end each server that runs it. */
  noteSuccess(fingerprint: string): void {
    this._successCredits.add(fingerprint);
    if (this.isEmpty || !this._writer.get(fingerprint)) return;
    this._options.log.decision('suspicion.cleared', { fingerprint });
    void this._change(fingerprint, () => undefined);
  }

  /** Resolves when the standing may have changed, at the latest after `milliseconds`. */
  async changed(fingerprint: string, milliseconds: number): Promise<void> {
    const waiting = this._waiting.get(fingerprint) ?? new Set();
    this._waiting.set(fingerprint, waiting);
    let wake: () => void = () => undefined;
    const woken = new Promise<void>((resolve) => (wake = resolve));
    waiting.add(wake);
    await atMost(woken, Math.min(milliseconds, RECHECK_INTERVAL_MILLISECONDS));
    waiting.delete(wake);
    if (waiting.size === 0) this._waiting.delete(fingerprint);
  }

  close(): void {
    clearInterval(this._timer);
    this._restorer.stop();
    this._writer.stop();
  }

  /**
   * The store is told of a request once it has ended two servers, or is over: most that are at the end of a server end well at the
   * next one, and each write has its price.
   */
  private async _change(fingerprint: string, change: SuspicionChange): Promise<void> {
    const ends = change(this._writer.get(fingerprint))?.ends.length ?? 0;
    if (ends > 1 || this._writer.isStored(fingerprint)) await this._writer.write(fingerprint, change);
    else {
      this._writer.queue(fingerprint, change);
      this._wake(fingerprint);
    }
  }

  private _isExplained(fingerprint: string, suspicion: Suspicion): boolean {
    const others = this._copies.all().filter(([other]) => other !== fingerprint);
    const known = others.flatMap(([, { suspicion: other }]) => other ?? []);
    return isExplained(suspicion, known.filter(isShutOut));
  }

  private _age({ seenAt }: StoredSuspicion): number {
    return this._options.clock.now() - seenAt;
  }

  /** The trial that is over though nobody has said so: its entry was killed, or cannot reach the store. */
  private _expiredTrial(stored: StoredSuspicion): string | undefined {
    const trial = stored.suspicion?.trial;
    if (!trial) return undefined;
    const { box, isLive } = this._options;
    const isOfPreviousProcess = trial.box === box && !this._claims.has(trial.request);
    const isOver = isOfPreviousProcess || !isLive(trial.box) || this._age(stored) > trial.milliseconds;
    return isOver ? trial.request : undefined;
  }

  private _onChange(fingerprint: string, endsBefore: number): void {
    const suspicion = this._writer.get(fingerprint);
    if (!suspicion) this._lastExits.delete(fingerprint);
    else if (suspicion.ends.length > endsBefore) this._onNewExits(fingerprint, suspicion);
    this._wake(fingerprint);
  }

  private _onNewExits(fingerprint: string, suspicion: Suspicion): void {
    this._recordExitCount(fingerprint, suspicion.ends.length);
    if (!isShutOut(suspicion)) return;
    const servers = suspicion.ends.map(({ server }) => server);
    this._options.log.state('suspicion.shut-out', { fingerprint, servers });
  }

  private _recordExitCount(fingerprint: string, ends: number): void {
    const known = this._lastExits.get(fingerprint);
    if (!known || known.ends < ends)
      this._lastExits.set(fingerprint, { ends, at: this._options.clock.now() });
  }

  private _wake(fingerprint: string): void {
    for (const wake of [...(this._waiting.get(fingerprint) ?? [])]) wake();
  }

  /** Removes what nobody has come again with; the others find it in their copies. */
  private _removeStale(): void {
    if (!this._options.isReading()) return;
    for (const [fingerprint, stored] of this._copies.all()) {
      const { suspicion } = stored;
      if (!suspicion) continue;
      const keptFor = isShutOut(suspicion) ? SHUT_OUT_TTL_MILLISECONDS : SUSPECTED_TTL_MILLISECONDS;
      if (this._age(stored) > keptFor) void this._remove(fingerprint, suspicion);
    }
  }

  private async _remove(fingerprint: string, forgotten: Suspicion): Promise<void> {
    this._options.log.decision('suspicion.forgotten', { fingerprint, ends: forgotten.ends.length });
    // one that has changed meanwhile is another object by then, and stays
    const change = (suspicion: Suspicion | undefined): Suspicion | undefined =>
      isDeepStrictEqual(suspicion, forgotten) ? undefined : suspicion;
    await this._writer.write(fingerprint, change);
  }
}
