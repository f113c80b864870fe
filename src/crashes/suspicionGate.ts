/**
 * Decides when a request may run: at once, unless one of its identities is suspected of crashing the servers that run
 * it.
 */
import type { Clock } from '../utils/clock.js';
import { IdentityGate } from './identityGate.js';
import type { RequestIdentity } from './requestIdentity.js';
import type { RunDecision } from './runDecision.js';
import type { ServerProcess } from './serverExitChecker.js';
import type { SuspicionTracker } from './suspicionTracker.js';

/** The request that a gate controls. */
export interface GatedRequest {
  identities: () => readonly RequestIdentity[];
  /** Provides the caller's id of the request. */
  exchange: { readonly requestId: string };
  /** Deadline of the request in monotonic milliseconds. */
  endsAt: number;
}

/** How a wait ended. `ends servers`: the request is shut out. `time`: its deadline has passed, or it was released. */
export type GateOutcome = 'granted' | 'ends servers' | 'time';

/** Request ids are chosen by callers and may have any length. */
const MAX_ID_LENGTH = 64;
/**
 * A server that has sent an answer for this long was not crashed by the prompt: a harmful part crashes its server when
 * the answer begins.
 */
const PROVEN_MILLISECONDS = 300;

/** Makes the ids of trials unique: callers may use a request id twice, or send none. */
let gatesCreated = 0;

export class SuspicionGate {
  private readonly _tracker: SuspicionTracker;
  private readonly _request: GatedRequest;
  private readonly _clock: Clock;
  private readonly _trialRequest: string;
  private _identityGates: readonly IdentityGate[] | undefined;
  private _isWaiting = false;
  private _isReleased = false;
  /** Whether the current attempt has shown that the prompt does not crash the server. */
  private _isPromptProven = false;
  /** Start of the current attempt, in monotonic milliseconds. */
  private _sentAt: number;

  constructor(tracker: SuspicionTracker, request: GatedRequest, clock: Clock) {
    this._tracker = tracker;
    this._request = request;
    this._clock = clock;
    this._sentAt = clock.now();
    this._trialRequest = `${request.exchange.requestId.slice(0, MAX_ID_LENGTH)}/${gatesCreated++}`;
  }

  /** Id of the trial that the request claimed last, for each of its identities. */
  get trialIds(): readonly string[] {
    return this._gates.map(({ trialId }) => trialId);
  }

  /** Whether the request may run now, without waiting. */
  get isOpen(): boolean {
    return this._tracker.isEmpty || this._gates.every(isOpen);
  }

  /** Whether a call of {@link SuspicionGate.wait} is pending. */
  get isWaiting(): boolean {
    return this._isWaiting;
  }

  /** Milliseconds after which a request that is shut out may come again; 0 if it is not shut out. */
  get shutOutMilliseconds(): number {
    if (this._tracker.isEmpty) return 0;
    const shutOut = this._gates.filter(({ decision }) => decision === 'shut-out');
    return Math.max(0, ...shutOut.map(({ shutOutMilliseconds }) => shutOutMilliseconds));
  }

  /** Waits until the request may run, is shut out, or is over. */
  async wait(): Promise<GateOutcome> {
    this._isWaiting = true;
    const outcome = await this._waitUntilDecided();
    this._isWaiting = false;
    return outcome;
  }

  /** Starts another attempt. */
  onSent(): void {
    this._isPromptProven = false;
    this._sentAt = this._clock.now();
    if (this._tracker.isEmpty) return;
    for (const gate of this._gates) gate.noteSent();
  }

  /** The server has been sending the answer of the current attempt for `milliseconds`. */
  onAnswering(milliseconds = 0): void {
    if (this._isPromptProven || milliseconds < PROVEN_MILLISECONDS) return;
    this._recordPromptProven();
  }

  /**
   * Handles a server that broke off the connection while it had the request; `answeringFor` is how long it had been
   * sending the answer. Resolves to whether its process has exited, which then counts against the request.
   */
  async onConnectionBroken(server: ServerProcess, answeringFor = 0): Promise<boolean> {
    const isPromptProven = this._isPromptProven || answeringFor >= PROVEN_MILLISECONDS;
    if (!(await this._tracker.exitChecker.hasExited(server))) return false;
    const serverProcess = server.startedAt > 0 ? `${server.id}@${server.startedAt}` : server.id;
    const suspected = this._gates.filter(({ identity }) => !isPromptProven || identity.kind === 'request');
    // Once it has its answer, the caller may retry at another entry, which has to know of the exit by then.
    await Promise.all(suspected.map((gate) => gate.recordServerExit(serverProcess)));
    if (this._isReleased) this.release();
    return true;
  }

  /**
   * Records that the request completed successfully. An answer that ends with its connection may have been cut off by a
   * crash, and shows nothing.
   */
  recordSuccess(endsWithConnection = false): void {
    if (endsWithConnection) return;
    if (!this._isPromptProven) this._recordPromptProven();
    if (this._tracker.isEmpty) return;
    for (const gate of this._gates)
      if (gate.identity.kind === 'request') gate.recordSuccess(this._runningFor);
  }

  /** Ends the request, so that another one with the same identity may get a trial. */
  release(): void {
    this._isReleased = true;
    for (const gate of this._identityGates ?? []) gate.release();
  }

  private get _runningFor(): number {
    return this._clock.now() - this._sentAt;
  }

  private get _gates(): readonly IdentityGate[] {
    if (this._identityGates) return this._identityGates;
    const identities = this._request.identities();
    const own = new Set(identities.map(({ fingerprint }) => fingerprint));
    this._identityGates = identities.map(
      (identity) => new IdentityGate(this._tracker, identity, this._trialRequest, own),
    );
    return this._identityGates;
  }

  /** Trials are claimed in the order of the identities, which keeps requests from waiting for each other. */
  private async _waitUntilDecided(): Promise<GateOutcome> {
    const left = (): number => this._request.endsAt - this._clock.now();
    while (!this._isReleased && left() > 0) {
      if (this._gates.some(({ decision }) => decision === 'shut-out')) return 'ends servers';
      const closed = this._gates.find((gate) => !isOpen(gate));
      if (!closed) return 'granted';
      await closed.proceed(left());
    }
    return 'time';
  }

  private _recordPromptProven(): void {
    this._isPromptProven = true;
    if (this._tracker.suspectsNothing) return;
    for (const gate of this._gates)
      if (gate.identity.kind !== 'request') gate.recordSuccess(this._runningFor);
  }
}

const OPEN_DECISIONS: ReadonlySet<RunDecision> = new Set(['run', 'run-as-trial']);

function isOpen({ decision }: IdentityGate): boolean {
  return OPEN_DECISIONS.has(decision);
}
