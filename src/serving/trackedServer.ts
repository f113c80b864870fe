/** All that this entry knows of one life of a backend server. */
import type { ServerBackpressure } from '../backpressure/serverBackpressure.js';
import { BoxLoad } from '../routing/backend.js';
import type { BoxStatus } from '../protocol/boxMessages.js';
import type { Clock } from '../utils/clock.js';
import { hostOf } from '../utils/hostPort.js';
import type { BackendConnections } from './backendConnections.js';
import type { BackendServerRecord } from './backendServerRecord.js';
import { ServerHealth } from './serverHealth.js';

/** Silence of a server that has requests to answer, after which nothing new is sent. */
const SUSPICIOUS_SILENCE_MILLISECONDS = 500;
const STATUS_LIFETIME_MILLISECONDS = 2_000;
/** The longest time between what an agent learns of its server and the word of it here, on a link that is well. */
const STATUS_WAY_MILLISECONDS = 1_500;
/** Agents send their status once a second at least; the rest is what may hold one up. */
const AGENT_SILENCE_MILLISECONDS = 1_400;
/** First answers that take longer say that requests wait, on the way or at the server. */
const PROMPT_MILLISECONDS = 350;
/** Round trips to the box that take longer say that a request would lie on its way: 180 ms are chunks of a version on a link that is well. */
export const SLOW_LINK_MILLISECONDS = 400;
/** Prompts before which another one has to wait long to be read. */
const MANY_UNREAD = 3;
/** Time in which half of the prompts have been read that waited at the last report. */
const UNREAD_HALF_LIFE_MILLISECONDS = 120;

/** Less than any prompt, in usual prompts. */
const LEAST_PROMPT = 1e-6;

export class TrackedServer {
  record: BackendServerRecord;
  /** Address of its box. */
  host = '';
  readonly health: ServerHealth;
  readonly load = new BoxLoad();
  readonly connections: BackendConnections;
  /** What its answers ask for. */
  readonly backpressure: ServerBackpressure;
  private readonly _clock: Clock;
  private readonly _versions = new Map<string, number>();
  private _status: BoxStatus | undefined;
  private _statusAt = Number.NEGATIVE_INFINITY;
  private _switchingSince = 0;
  private _heardAt = 0;
  private _streams = 0;
  private readonly _sharers: () => number;
  private readonly _linkDelay: () => number;
  private _ownUnread = 0;

  /**
   * `sharers` is how many entries send most of their requests to this server; `linkDelay` is how long a round trip to its box
   * takes at the least, in milliseconds, 0 while that is not measured.
   */
  constructor(
    record: BackendServerRecord,
    connections: BackendConnections,
    backpressure: ServerBackpressure,
    clock: Clock,
    sharers: () => number,
    linkDelay: () => number = () => 0,
  ) {
    this.record = record;
    this.connections = connections;
    this.backpressure = backpressure;
    this.health = new ServerHealth(clock);
    this._clock = clock;
    this._sharers = sharers;
    this._linkDelay = linkDelay;
    this.updateLocation(record);
  }

  /** Takes what service discovery says of this life. */
  update(record: BackendServerRecord): void {
    this.updateLocation(record);
    for (const { name, version } of record.models) this.noteVersion(name, version);
  }

  /** Takes of what service discovery says only where the server is and whether it takes requests. */
  updateLocation(record: BackendServerRecord): void {
    this.record = record;
    this.host = hostOf(record.address);
  }

  /** Whether the server has said that it leaves, in service discovery or in an answer: its record may be late, or lost. */
  get isLeaving(): boolean {
    return this.record.draining || this.backpressure.isLeaving;
  }

  /** Takes what the agent beside the server says. */
  noteStatus(status: BoxStatus): void {
    if (status.state === 'switching' && this._status?.state !== 'switching')
      this._switchingSince = this._clock.now();
    this._status = status;
    this._statusAt = this._clock.now();
    if (status.model !== '') this._versions.set(status.model, status.version);
    this.load.report(status.running + status.queued, this._clock.now());
  }

  /** This process sent a request to the server, with a prompt of `prompts` usual ones. */
  noteSent(prompts: number): void {
    this._ownUnread += prompts;
  }

  /** A request that this process sent has brought its first event, or is given up. */
  noteRead(prompts: number): void {
    this._ownUnread -= prompts;
    // what is left of fractions that have all been taken away
    if (this._ownUnread < LEAST_PROMPT) this._ownUnread = 0;
  }

  /**
   * What the server has yet to read, in usual prompts: its time for one prompt may be sixty times that for another. What this
   * process sent is known; others are taken to have sent as much, since they choose by the same reports, unless the agent
   * has told of more.
   */
  get pendingPrompts(): number {
    const age = this._clock.now() - this._statusAt;
    const told = (this._status?.queued ?? 0) * 0.5 ** (age / UNREAD_HALF_LIFE_MILLISECONDS);
    return Math.max(told, this._ownUnread * this._sharers());
  }

  /** A version that the server itself named; versions only rise while nothing says that it lost them. */
  noteVersion(model: string, version: number): void {
    this._versions.set(model, Math.max(version, this._versions.get(model) ?? 0));
  }

  /** The version of `model` in service, 0 when none is known. */
  version(model: string): number {
    return this._versions.get(model) ?? 0;
  }

  /** Whether the server is between two versions and takes no requests. */
  get switching(): boolean {
    return this._freshStatus?.state === 'switching';
  }

  /** Whether the server is about to change its version. */
  get preparing(): boolean {
    return this._freshStatus?.state === 'preparing';
  }

  /** Milliseconds since the agent beside the server told how it stands; undefined when it never has. */
  get statusAge(): number | undefined {
    return this._status && this._clock.now() - this._statusAt;
  }

  /** Whether the agent beside the server has said nothing for longer than it ever should. */
  get agentSilent(): boolean {
    return this._clock.now() - this._statusAt > AGENT_SILENCE_MILLISECONDS;
  }

  /** Monotonic milliseconds before which this life was certainly there; -infinity where its agent has not told of it. */
  get knownAliveAt(): number {
    return this.slowLink ? Number.NEGATIVE_INFINITY : this._statusAt - STATUS_WAY_MILLISECONDS;
  }

  /** Whether the link of the server's box is narrow, or what is sent to the box lies on its way. */
  get slowLink(): boolean {
    return this._freshStatus?.slowLink === true || this._linkDelay() > SLOW_LINK_MILLISECONDS;
  }

  /** Milliseconds for which the server has been between two versions, 0 when it is not. */
  get switchingFor(): number {
    return this.switching ? this._clock.now() - this._switchingSince : 0;
  }

  /** Whether a request that is sent now begins within some hundred milliseconds, as far as can be told. */
  get startsPromptly(): boolean {
    const isPrompt = this.health.firstAnswerMilliseconds < PROMPT_MILLISECONDS;
    const isFree =
      this.pendingPrompts < MANY_UNREAD && this.load.estimate(this._clock.now()) < this.record.slots;
    const mayReach = !this.agentSilent && !this.slowLink && !this.health.avoided;
    return mayReach && isPrompt && isFree;
  }

  /** A stream began or ended on the server. */
  streamBegan(): void {
    if (this._streams === 0) this._heardAt = this._clock.now();
    this._streams++;
  }

  streamEnded(): void {
    this._streams--;
  }

  /** Bytes came from the server. */
  noteData(): void {
    this._heardAt = this._clock.now();
  }

  /** Milliseconds since the server sent anything while it had streams to send; 0 when it has none. */
  get silentFor(): number {
    return this._streams === 0 ? 0 : this._clock.now() - this._heardAt;
  }

  get suspicious(): boolean {
    return this.silentFor > SUSPICIOUS_SILENCE_MILLISECONDS;
  }

  /** What the agent has told lately: of a lost agent nothing is known, not what it said last. */
  private get _freshStatus(): BoxStatus | undefined {
    const isFresh = this._clock.now() - this._statusAt < STATUS_LIFETIME_MILLISECONDS;
    return isFresh ? this._status : undefined;
  }
}
