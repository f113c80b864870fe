/**
 * Tracks which identities of requests are suspected of crashing the servers that run them. All entries share this state
 * through the store.
 *
 * When a server exits, the identities of all requests that it ran become suspected. Requests with a suspected identity
 * run only one at a time in the whole system, which is called its trial. An identity is cleared when a request with it
 * succeeds at any entry, and shut out when too many servers have exited under it: from then on entries refuse it. While
 * the store does not answer, this entry decides by what it knows, so that it refuses no request that may be harmless.
 */
import type { RecordReplica } from '../records/recordReplica.js';
import type { UnreadableRecords } from '../records/unreadableRecords.js';
import type { WritableStore } from '../records/writableStore.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import { waitAtMost } from '../utils/timers.js';
import { hasOtherSuspect, isExplainedByOthers } from './explanation.js';
import { ExitTimes } from './exitTimes.js';
import { ServerExitChecker } from './serverExitChecker.js';
import type { RequestIdentity } from './requestIdentity.js';
import type { RunDecision } from './runDecision.js';
import { decideRun, shutOutMilliseconds } from './runDecision.js';
import type { ServerExit, Suspicion } from './suspicion.js';
import { isShutOut, lastExitedServer, withServerExit, withTrial, withoutTrial } from './suspicion.js';
import type { StoredSuspicion } from './suspicionCopies.js';
import { SuspicionCleaner } from './suspicionCleaner.js';
import { SuspicionCopies } from './suspicionCopies.js';
import { SuspicionRestorer } from './suspicionRestorer.js';
import { UnconfirmedExits } from './unconfirmedExits.js';
import type { SuspicionChange } from './suspicionWriter.js';
import { SuspicionWriter } from './suspicionWriter.js';

export interface SuspicionTrackerOptions {
  /** Box of this entry. */
  box: string;
  replica: RecordReplica;
  store: WritableStore;
  unreadable: UnreadableRecords;
  /** Whether this process is one of the few that read the store, and that remove stale suspicions from it. */
  isReading: () => boolean;
  /** Whether the entry on a box is live. The trial of an entry that is not live counts as over. */
  isLive: (box: string) => boolean;
  clock: Clock;
  random: Random;
  log: EventLog;
}

/** How long a request waits for its change to be written. Callers of harmless requests have to wait for it too. */
const WRITE_WAIT_MILLISECONDS = 250;
/**
 * A harmful request crashes its server soon after the server has started to run it. The other callers of the same
 * request, who may be many and whose requests may be harmless, wait no longer than this for the end of a trial.
 */
const MAX_TRIAL_MILLISECONDS = 3_000;
/**
 * With more suspicions than this, the servers probably exit for another cause, such as failing racks. No further
 * requests become suspected then, which also limits the writes to the store.
 */
const MAX_SUSPICIONS = 1_000;
const MAX_PENDING = 200;
/** How often a waiting request checks whether the entry that runs the trial is still live. */
const RECHECK_INTERVAL_MILLISECONDS = 250;

export class SuspicionTracker {
  /** Checks servers that broke off a connection. */
  readonly exitChecker: ServerExitChecker;
  private readonly _options: SuspicionTrackerOptions;
  private readonly _copies: SuspicionCopies;
  private readonly _writer: SuspicionWriter;
  private readonly _restorer: SuspicionRestorer;
  private readonly _unconfirmed: UnconfirmedExits;
  private _confirmTimer: NodeJS.Timeout | undefined;
  private readonly _exitTimes: ExitTimes;
  private readonly _waiting = new Map<string, Set<() => void>>();
  /** Trials that requests of this process have claimed. */
  private readonly _claims = new Set<string>();
  private readonly _cleaner: SuspicionCleaner;

  constructor(options: SuspicionTrackerOptions) {
    const { replica, unreadable, clock } = options;
    this._options = options;
    this._unconfirmed = new UnconfirmedExits(clock);
    this._exitTimes = new ExitTimes(clock, MAX_SUSPICIONS + MAX_PENDING);
    this.exitChecker = new ServerExitChecker(options.log);
    this._copies = new SuspicionCopies(replica, unreadable, clock);
    this._copies.on('change', (fingerprint, former) => this._onChange(fingerprint, former));
    this._writer = new SuspicionWriter({ ...options, kind: replica.kind, copies: this._copies });
    this._restorer = new SuspicionRestorer({ ...options, copies: this._copies, writer: this._writer });
    this._cleaner = new SuspicionCleaner({ ...options, copies: this._copies, writer: this._writer });
  }

  /** Whether no request is suspected, so that none needs to be looked up. */
  get isEmpty(): boolean {
    return this._copies.size === 0 && this._writer.pending === 0;
  }

  /** Whether a success of a prompt clears nothing. */
  get suspectsNothing(): boolean {
    return this.isEmpty && this._unconfirmed.size === 0;
  }

  /** Number of suspected identities, and of those among them that are shut out. */
  get counts(): { suspected: number; shutOut: number } {
    const suspicions = this._suspicions().map(([, suspicion]) => suspicion);
    return { suspected: suspicions.length, shutOut: suspicions.filter(isShutOut).length };
  }

  /**
   * Decides whether a request may run now, by one of its identities; `request` is the id of the trial that it claimed
   * last, and `own` are the fingerprints of all its identities.
   */
  runDecision(
    identity: RequestIdentity,
    request: string,
    own: ReadonlySet<string> = new Set([identity.fingerprint]),
  ): RunDecision {
    const { kind, fingerprint } = identity;
    const suspicion = this._writer.get(fingerprint);
    const trial = suspicion?.trial;
    return decideRun({
      kind,
      fingerprint,
      suspicion,
      request,
      ownsTrial: trial?.request === request && trial.box === this._options.box,
      isTrialExpired: trial?.request === this._expiredTrial(this._copies.get(fingerprint)),
      millisecondsSinceLastExit: this._exitTimes.since(fingerprint),
      hasOtherSuspect:
        suspicion !== undefined &&
        hasOtherSuspect(identity, own, (other) => this._writer.get(other) !== undefined),
      isExplainedByOthers:
        suspicion !== undefined &&
        isShutOut(suspicion) &&
        isExplainedByOthers(identity, suspicion, own, this._suspicions()),
    });
  }

  /** Milliseconds until an identity that is shut out may have another trial. */
  shutOutMilliseconds({ fingerprint }: RequestIdentity): number {
    const suspicion = this._writer.get(fingerprint);
    if (!suspicion) return 0;
    return Math.max(0, shutOutMilliseconds(suspicion) - this._exitTimes.since(fingerprint));
  }

  /**
   * Records that a server exited while it had a request with this identity. Resolves when this is written to the store,
   * if it is to be written at once, at the latest after a short time.
   */
  async recordServerExit(identity: RequestIdentity, exit: ServerExit): Promise<void> {
    const { log } = this._options;
    const { fingerprint } = identity;
    if (identity.kind !== 'request' && exit.trial === '') {
      if (!this._unconfirmed.add(identity, exit))
        log.state('suspicion.not-kept', { fingerprint, server: exit.server });
      return this._scheduleConfirmation();
    }
    await waitAtMost(this._count(identity, [exit]), WRITE_WAIT_MILLISECONDS);
  }

  /** Claims the trial of a suspected request; `runDecision` tells afterwards whether the request got it. */
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
    await waitAtMost(claimed, WRITE_WAIT_MILLISECONDS);
  }

  /** Ends a trial whose request may claim another one. */
  endTrial(fingerprint: string, request: string): void {
    this._claims.delete(request);
    if (this._writer.get(fingerprint)?.trial?.request !== request) return;
    void this._change(fingerprint, (suspicion) => suspicion && withoutTrial(suspicion, request));
  }

  /**
   * Ends a request that saw a server exit or claimed a trial, and writes what is known of it to the store for all
   * entries.
   */
  release(fingerprint: string, request: string): void {
    this._claims.delete(request);
    if (!this._writer.get(fingerprint)) return;
    void this._writer.write(fingerprint, (suspicion) => suspicion && withoutTrial(suspicion, request));
  }

  /**
   * Records that a request with this identity succeeded after it had run for `milliseconds`, which shows that it does not
   * crash every server. A single request may have turned harmful while an earlier run of it went on.
   */
  recordSuccess({ kind, fingerprint }: RequestIdentity, milliseconds = 0): void {
    if (kind === 'request' && this._exitTimes.since(fingerprint) < milliseconds) return;
    if (kind !== 'request') this._unconfirmed.discard(fingerprint);
    if (this.isEmpty || !this._writer.get(fingerprint)) return;
    this._options.log.decision('suspicion.cleared', { fingerprint });
    void this._change(fingerprint, () => undefined);
  }

  /** Resolves when the decision for a request may have changed, at the latest after `milliseconds`. */
  async waitForChange(fingerprint: string, milliseconds: number): Promise<void> {
    const waiting = this._waiting.get(fingerprint) ?? new Set();
    this._waiting.set(fingerprint, waiting);
    let wake: () => void = () => undefined;
    const woken = new Promise<void>((resolve) => (wake = resolve));
    waiting.add(wake);
    await waitAtMost(woken, Math.min(milliseconds, RECHECK_INTERVAL_MILLISECONDS));
    waiting.delete(wake);
    if (waiting.size === 0) this._waiting.delete(fingerprint);
  }

  close(): void {
    this._cleaner.stop();
    clearTimeout(this._confirmTimer);
    this._restorer.stop();
    this._writer.stop();
  }

  private _scheduleConfirmation(): void {
    const { nextDueIn } = this._unconfirmed;
    if (nextDueIn === undefined) return;
    this._confirmTimer ??= setTimeout(() => this._confirmExits(), nextDueIn).unref();
  }

  private _confirmExits(): void {
    this._confirmTimer = undefined;
    for (const { identity, exits } of this._unconfirmed.takeConfirmed()) void this._count(identity, exits);
    this._scheduleConfirmation();
  }

  /** Counts server exits against an identity. Resolves when this is written, if it is to be written at once. */
  private async _count(identity: RequestIdentity, exits: readonly ServerExit[]): Promise<void> {
    const { log } = this._options;
    const { kind, fingerprint } = identity;
    const isFull = this._copies.size >= MAX_SUSPICIONS || this._writer.pending >= MAX_PENDING;
    if (isFull && !this._writer.get(fingerprint))
      return log.state('suspicion.not-kept', { fingerprint, server: exits[0].server });
    const change: SuspicionChange = (suspicion) =>
      exits.reduce<Suspicion | undefined>(withServerExit, suspicion);
    // Requests that share a part arrive at all entries, which have to add up the exits that each of them sees.
    const written =
      kind === 'request' ? this._change(fingerprint, change) : this._writer.write(fingerprint, change);
    const { ends } = this._writer.get(fingerprint)!;
    this._exitTimes.record(fingerprint, ends[ends.length - 1].server);
    for (const exit of exits)
      log.decision('suspicion.end', { kind, fingerprint, ...exit, ends: ends.length });
    await written;
  }

  /**
   * Writes a change to the store once two servers have exited under the request, and only queues it before: most
   * requests that see one server exit succeed on the next server, and each write has a cost on the platform.
   */
  private async _change(fingerprint: string, change: SuspicionChange): Promise<void> {
    const ends = change(this._writer.get(fingerprint))?.ends.length ?? 0;
    if (ends > 1 || this._writer.isStored(fingerprint)) await this._writer.write(fingerprint, change);
    else {
      this._writer.queue(fingerprint, change);
      this._wake(fingerprint);
    }
  }

  private _suspicions(): (readonly [string, Suspicion])[] {
    return this._copies
      .all()
      .flatMap(([fingerprint, { suspicion }]) => (suspicion ? [[fingerprint, suspicion] as const] : []));
  }

  private _age({ seenAt }: StoredSuspicion): number {
    return this._options.clock.now() - seenAt;
  }

  /**
   * Returns the trial that is over although its end was not reported: its entry was killed, or cannot reach the
   * store.
   */
  private _expiredTrial(stored: StoredSuspicion): string | undefined {
    const trial = stored.suspicion?.trial;
    if (!trial) return undefined;
    const { box, isLive } = this._options;
    const isOfPreviousProcess = trial.box === box && !this._claims.has(trial.request);
    const isOver = isOfPreviousProcess || !isLive(trial.box) || this._age(stored) > trial.milliseconds;
    return isOver ? trial.request : undefined;
  }

  private _onChange(fingerprint: string, former: Suspicion | undefined): void {
    const suspicion = this._writer.get(fingerprint);
    const server = lastExitedServer(suspicion);
    if (!suspicion || server === undefined) this._exitTimes.forget(fingerprint);
    else if (server !== lastExitedServer(former)) this._onNewExit(fingerprint, suspicion, server);
    this._wake(fingerprint);
  }

  private _onNewExit(fingerprint: string, suspicion: Suspicion, server: string): void {
    this._exitTimes.record(fingerprint, server);
    if (!isShutOut(suspicion)) return;
    const servers = suspicion.ends.map(({ server }) => server);
    this._options.log.state('suspicion.shut-out', { fingerprint, servers });
  }

  private _wake(fingerprint: string): void {
    for (const wake of [...(this._waiting.get(fingerprint) ?? [])]) wake();
  }
}
