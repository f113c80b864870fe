/** Tracks the state of one incarnation of a backend server, as known to this entry. */
import type { ServerBackpressure } from '../backpressure/serverBackpressure.js';
import { BoxLoad } from '../routing/backend.js';
import type { BoxStatus, ConfirmedLoad } from '../protocol/boxMessages.js';
import type { Clock } from '../utils/clock.js';
import { hostOf } from '../utils/hostPort.js';
import type { BackendConnections } from './backendConnections.js';
import type { BackendServerRecord, ServedModel } from './backendServerRecord.js';
import { ServerHealth } from './serverHealth.js';
import { UNKNOWN_START } from './serverIncarnation.js';

/** A server that has streams to send and is silent for longer than this is considered unresponsive, and avoided. */
const UNRESPONSIVE_SILENCE_MILLISECONDS = 500;
const STATUS_LIFETIME_MILLISECONDS = 2_000;
/** Maximum time from when an agent observes its server until its status arrives here, on a link that is not slow. */
const MAX_STATUS_DELAY_MILLISECONDS = 1_500;
/** Agents send their status at least once per second; the rest is a margin for delays. */
const AGENT_SILENCE_MILLISECONDS = 1_400;
/** A longer time to the first byte means that requests wait, on the network or at the server. */
const MAX_FIRST_BYTE_MILLISECONDS = 350;
/**
 * A longer round trip to the box means that requests are delayed on the way. Chunks of a version delay a round trip
 * by 180 ms on a link that is not slow.
 */
export const SLOW_LINK_MILLISECONDS = 400;
/** A doubtful load is found within half a second, and its layers are loaded again within a second. */
const LISTED_VERSION_WAIT_MILLISECONDS = 3_000;
/** With this many pending prompts or more, a new prompt waits long until it is read. */
const MANY_PENDING_PROMPTS = 3;
/** Time in which half of the prompts that were queued at the last report have been read. */
const PENDING_HALF_LIFE_MILLISECONDS = 120;

/** Smaller than any prompt, in units of a mean prompt; lower values are rounding errors. */
const MIN_PROMPT = 1e-6;

export class TrackedServer {
  record: BackendServerRecord;
  /** IP address of its box. */
  host = '';
  readonly health: ServerHealth;
  readonly load = new BoxLoad();
  readonly connections: BackendConnections;
  /** Limits and other signals from its answers. */
  readonly backpressure: ServerBackpressure;
  private readonly _clock: Clock;
  private readonly _versions = new Map<string, number>();
  private _status: BoxStatus | undefined;
  private _statusAt = Number.NEGATIVE_INFINITY;
  /** Versions in the record that the server was ordered to load, and since when they are known. */
  private readonly _listed = new Map<string, { version: number; since: number }>();
  private _isReportedByAgent = false;
  private _confirmedLoad: ConfirmedLoad | undefined;
  private _switchingSince = 0;
  private _lastDataAt = 0;
  private _streams = 0;
  private readonly _sharers: () => number;
  private readonly _linkDelay: () => number;
  private readonly _reportsHere: () => boolean;
  private _ownPendingPrompts = 0;

  /**
   * `sharers` returns how many entries send most of their requests to this server; `linkDelay` returns a lower
   * bound for the round trip to its box in milliseconds, 0 while it is not measured; `reportsHere` returns whether its
   * agent reports to this entry, as soon as it is connected.
   */
  constructor(
    record: BackendServerRecord,
    connections: BackendConnections,
    backpressure: ServerBackpressure,
    clock: Clock,
    sharers: () => number,
    linkDelay: () => number = () => 0,
    reportsHere: () => boolean = () => true,
  ) {
    this.record = record;
    this.connections = connections;
    this.backpressure = backpressure;
    this.health = new ServerHealth(clock);
    this._clock = clock;
    this._sharers = sharers;
    this._linkDelay = linkDelay;
    this._reportsHere = reportsHere;
    this.updateLocation(record);
  }

  /**
   * Applies the service discovery record of this incarnation. A version that the server was ordered to load counts only
   * once its agent has confirmed that the server took intact chunks.
   */
  update(record: BackendServerRecord): void {
    this.updateLocation(record);
    if (!this._isReportedByAgent) for (const model of record.models) this._noteListed(model, record);
    if (record.coldUntil !== undefined) this.backpressure.noteCold('record', record.coldUntil);
  }

  private _noteListed({ name, version }: ServedModel, { ordersTaken = 0 }: BackendServerRecord): void {
    if (ordersTaken === 0) return void this._versions.set(name, version);
    this._versions.delete(name);
    if (this._listed.get(name)?.version !== version)
      this._listed.set(name, { version, since: this._clock.now() });
  }

  /**
   * The version in the record of a server whose agent does not report to this entry, which uses it only if no other can
   * serve a request. It counts after the time in which an agent finds corrupt chunks and has them loaded again.
   */
  private _listedVersion(model: string): number {
    const listed = this._listed.get(model);
    if (!listed || this._isReportedByAgent || this._reportsHere()) return 0;
    return this._clock.now() - listed.since >= LISTED_VERSION_WAIT_MILLISECONDS ? listed.version : 0;
  }

  /** Applies a service discovery record without its versions, when it may be older than the known versions. */
  updateLocation(record: BackendServerRecord): void {
    this.record = record;
    this.host = hostOf(record.address);
  }

  /** Whether the server is shutting down, by its record or by an answer, since the record may be late or lost. */
  get isLeaving(): boolean {
    return this.record.draining || this.backpressure.isLeaving;
  }

  /** Applies a status message of the agent on the server's box. */
  noteStatus(status: BoxStatus): void {
    if (status.state === 'switching' && this._status?.state !== 'switching')
      this._switchingSince = this._clock.now();
    this._status = status;
    this._statusAt = this._clock.now();
    if (status.model !== '') {
      this._isReportedByAgent = true;
      this._versions.set(status.model, status.version);
    }
    this._noteConfirmed(status);
    this.load.report(status.running + status.queued, this._clock.now());
  }

  private _noteConfirmed({ version, revision, startedAt }: BoxStatus): void {
    if (version === 0 || revision === undefined) return;
    this._confirmedLoad = { version, revision, startedAt: startedAt ?? UNKNOWN_START };
  }

  /** Records that this process sent a request; `promptSize` is in units of a mean prompt. */
  noteSent(promptSize: number): void {
    this._ownPendingPrompts += promptSize;
  }

  /** Records that a request sent by this process has returned its first event, or was given up. */
  noteRead(promptSize: number): void {
    this._ownPendingPrompts -= promptSize;
    // Remove the rounding error that remains after adding and subtracting fractions.
    if (this._ownPendingPrompts < MIN_PROMPT) this._ownPendingPrompts = 0;
  }

  /**
   * Estimated size of the prompts that the server has not read yet, in units of a mean prompt, since one prompt may
   * take sixty times as long as another. Other entries are assumed to have sent as much as this process, since they
   * select servers by the same reports, unless the agent reports more.
   */
  get pendingPrompts(): number {
    const age = this._clock.now() - this._statusAt;
    const reported = (this._status?.queued ?? 0) * 0.5 ** (age / PENDING_HALF_LIFE_MILLISECONDS);
    return Math.max(reported, this._ownPendingPrompts * this._sharers());
  }

  /**
   * Records the version that an answer names. A newer one than the known shows that this is out of date; it counts only
   * once the agent has confirmed that the server took intact chunks.
   */
  noteAnsweredVersion(model: string, version: number): void {
    if (version > this.version(model)) this._versions.set(model, 0);
  }

  /** The version of `model` that the server serves, as far as it is confirmed; 0 when unknown. */
  version(model: string): number {
    return this._versions.get(model) ?? this._listedVersion(model);
  }

  /**
   * Whether the server is switching versions and accepts no requests. It is until its agent reports otherwise: while
   * agent and server are paused, an order may be pending, and chunks may be corrupted before the server takes it.
   */
  get switching(): boolean {
    return this._status?.state === 'switching';
  }

  /** The last load of which the agent has reported that the server took intact chunks; undefined without one. */
  get confirmedLoad(): ConfirmedLoad | undefined {
    return this._confirmedLoad;
  }

  /** Whether the server is about to switch versions. */
  get preparing(): boolean {
    return this._freshStatus?.state === 'preparing';
  }

  /** Milliseconds since the last status of the agent; undefined before the first one. */
  get statusAge(): number | undefined {
    return this._status && this._clock.now() - this._statusAt;
  }

  /** Whether the agent has sent no status for longer than expected. */
  get agentSilent(): boolean {
    return this._clock.now() - this._statusAt > AGENT_SILENCE_MILLISECONDS;
  }

  /**
   * Monotonic milliseconds at which this incarnation is known to have been running, from the last status and its
   * maximum delay; -Infinity without a status, or on a slow link, where the delay has no bound.
   */
  get knownAliveAt(): number {
    return this.slowLink ? Number.NEGATIVE_INFINITY : this._statusAt - MAX_STATUS_DELAY_MILLISECONDS;
  }

  /** Whether the link to the server's box is slow, as reported by the agent or measured by round trips. */
  get slowLink(): boolean {
    return this._freshStatus?.slowLink === true || this._linkDelay() > SLOW_LINK_MILLISECONDS;
  }

  /** Milliseconds since the server began to switch versions; 0 when it is not switching. */
  get switchingFor(): number {
    return this.switching ? this._clock.now() - this._switchingSince : 0;
  }

  /** Whether a request that is sent now is expected to begin within a few hundred milliseconds. */
  get startsPromptly(): boolean {
    const isFast = this.health.firstByteMilliseconds < MAX_FIRST_BYTE_MILLISECONDS;
    const isFree =
      this.pendingPrompts < MANY_PENDING_PROMPTS && this.load.estimate(this._clock.now()) < this.record.slots;
    const isReachable = !this.agentSilent && !this.slowLink && !this.health.avoided;
    return isReachable && isFast && isFree;
  }

  /** Records that a stream has begun on the server; {@link TrackedServer.streamEnded} records its end. */
  streamBegan(): void {
    if (this._streams === 0) this._lastDataAt = this._clock.now();
    this._streams++;
  }

  streamEnded(): void {
    this._streams--;
  }

  /** Records that data has arrived from the server. */
  noteData(): void {
    this._lastDataAt = this._clock.now();
  }

  /** Milliseconds since the server last sent data while it had streams; 0 when it has none. */
  get silentFor(): number {
    return this._streams === 0 ? 0 : this._clock.now() - this._lastDataAt;
  }

  get unresponsive(): boolean {
    return this.silentFor > UNRESPONSIVE_SILENCE_MILLISECONDS;
  }

  /** The last status of the agent, unless it is too old to be valid. */
  private get _freshStatus(): BoxStatus | undefined {
    const isFresh = this._clock.now() - this._statusAt < STATUS_LIFETIME_MILLISECONDS;
    return isFresh ? this._status : undefined;
  }
}
