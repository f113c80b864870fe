/** Stand-in for a runner of the platform: requests, reports, orders and staged pieces over the runner's HTTP API. */
import http from 'node:http';
import { buffer } from 'node:stream/consumers';
import { placementHash } from '../src/utils/hash.js';
import { SeededRandom } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import type { PlatformRunnerFaults } from './platformRunnerFaults.js';
import type { PlatformRunnerOptions } from './platformRunnerOptions.js';
import { hasSignals, signalHeaders, sentSignals } from './platformRunnerSignals.js';
import { eventText, ownHeaders } from './platformAnswers.js';
import { CRASH_BODY, harmIn } from './platformRunnerHarm.js';
import { OpenSockets } from './openSockets.js';
import { answerRequest } from './platformRunnerAnswers.js';
import { EVENT_MILLISECONDS } from './platformStreams.js';
import type { LayerSpan } from './stagedPieces.js';
import { HeldLayers, LAYER_COUNT, StagedPieces } from './stagedPieces.js';
import { sendJsonAnswer } from './standinServer.js';
import type { WeightsShape } from './weightsFixture.js';

/** Time from the start of a harmful request to the crash. */
const CRASH_DELAY_MILLISECONDS = 70;
/** Requests that can wait for a slot. */
const MAX_QUEUED = 16;
/** Time to load a version. */
const LOAD_MILLISECONDS = 60;
/** A piece that was corrupted more recently than this counts as intact: an agent cannot have detected it yet. */
const CORRUPTION_GRACE_MILLISECONDS = 3_000;
/** An order that waited for longer was held by a standstill. */
const HELD_MILLISECONDS = 500;
const MISDIRECTED_STATUS = 421;
const UNAVAILABLE_STATUS = 503;

/** Loads what is staged when it gets an order, even if that is incomplete; reports incomplete versions. */
export class PlatformRunnerStandin {
  faults: PlatformRunnerFaults = {};
  readonly id: string;
  readonly staged = new StagedPieces();
  /** Called when a call to read a piece or an order has arrived. */
  onStageCall: (call: 'get' | 'order') => void = () => undefined;
  private readonly _options: PlatformRunnerOptions;
  private readonly _server = http.createServer((request, response) => void this._serve(request, response));
  private readonly _sockets = new OpenSockets(this._server);
  private readonly _waiting: (() => void)[] = [];
  private readonly _callTimes: SeededRandom;
  private _version: number;
  private readonly _layers: HeldLayers;
  /** Resolves at once unless the runner stands still. */
  private _awake = Promise.resolve();
  private _wake: () => void = () => undefined;
  private _active = 0;
  private _sequence = 0;
  private _starting = false;
  /** Unix milliseconds. */
  private _startedAt = 0;
  /** Unix milliseconds. */
  private _coldUntil = 0;
  private _receivedCold = 0;

  constructor(options: PlatformRunnerOptions) {
    this._options = options;
    this.id = options.id;
    this._version = options.version;
    this._layers = new HeldLayers(options.version);
    this._callTimes = new SeededRandom(placementHash(options.id));
    this._server.keepAliveTimeout = 5_000;
  }

  readonly streamSpeed = { slowness: 1 };

  /** The version that it serves; 0 for none. */
  get version(): number {
    return this._version;
  }

  async listen(host: string, port: number): Promise<void> {
    this._startedAt = Date.now();
    this.turnCold(this._options.coldStartMilliseconds ?? 0);
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(port, host, resolve);
    });
  }

  get isListening(): boolean {
    return this._server.listening;
  }

  /** Makes the runner cold for this long; its next record and its answers tell so. */
  turnCold(milliseconds: number): void {
    this._coldUntil = Date.now() + milliseconds;
  }

  /** How long the runner remains cold; 0 when it is warm. */
  get coldMilliseconds(): number {
    return Math.max(0, this._coldUntil - Date.now());
  }

  /** Number of requests received while it was cold. */
  get receivedCold(): number {
    return this._receivedCold;
  }

  /** Closes the server and all connections immediately, as in a crash. */
  close(): void {
    this._server.close();
    this._server.closeAllConnections();
  }

  /** Closes the server and resets all connections, as when its process is killed before it has read all bytes. */
  kill(): void {
    this._server.close();
    this._sockets.resetAll();
  }

  /** Stands still: it handles no call until {@link PlatformRunnerStandin.wake}. */
  standStill(): void {
    this._awake = new Promise((resolve) => (this._wake = resolve));
  }

  wake(): void {
    this._wake();
  }

  /** Returns the record that the runner writes to the platform's store. */
  record(address: string, zone: string, state: 'ready' | 'draining' = 'ready'): unknown {
    const { service, slots, weights } = this._options;
    const { _sequence: seq_no, _startedAt: born } = this;
    const models = weights ? this._models() : [];
    const cold_left_ms = this.coldMilliseconds;
    return { service, address, zone, slots, state, version: 'v1', cold_left_ms, seq_no, born, models };
  }

  private async _serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    if (this.faults.silent) return;
    const url = new URL(request.url ?? '/', 'http://runner');
    const body = await buffer(request).catch(() => undefined);
    if (!body) return;
    const [, call] = url.pathname.split('/');
    const piece = url.searchParams.get('item_count');
    if (call === 'report') {
      await this._awake;
      return sendJsonAnswer(response, 200, this._report());
    }
    if (call === 'order' || call.startsWith('stage-')) await this._delayCall();
    if (call === 'order' || piece !== null) this.onStageCall(call === 'order' ? 'order' : 'get');
    const arrivedAt = Date.now();
    await this._awake;
    const wasHeld = Date.now() - arrivedAt >= HELD_MILLISECONDS;
    if (call === 'order') return this._order(JSON.parse(body.toString()) as OrderBody, wasHeld, response);
    if (call === 'stage-put' || call === 'stage-get') return this.staged.serve(call, piece, body, response);
    if (call === 'healthz') return void response.writeHead(200, { 'x-instance-id': this.id }).end();
    await this._run(request, response, url, body.toString());
  }

  private async _delayCall(): Promise<void> {
    const { callMilliseconds = 0 } = this._options;
    if (callMilliseconds > 0) await pause(this._callTimes.fraction() * callMilliseconds);
  }

  private _models(): unknown[] {
    const { weights } = this._options;
    if (!weights || this._version === 0) return [];
    return [{ name: weights.model, version: this._version, adapters: [] }];
  }

  private _report(): unknown {
    const queued = this._waiting.length;
    const models = this._models();
    const { source, target } = this._layers.span;
    const layers = { source, target_version: target, version: this._version };
    return {
      phase: 'unified',
      models,
      ...(models.length > 0 && { layers }),
      utilization: this._starting,
      seq_no: this._sequence,
      born: this._startedAt,
      queued,
      active: this._active,
    };
  }

  private _order(order: OrderBody, wasHeld: boolean, response: http.ServerResponse): void {
    const { weights } = this._options;
    if (order.operation !== 'start' || !weights) return sendJsonAnswer(response, 400, {});
    if (order.expected_rev !== undefined && order.expected_rev !== this._sequence)
      return sendJsonAnswer(response, 409, {});
    if (this._starting) return sendJsonAnswer(response, 409, {});
    const { source = 0, target_version: target = LAYER_COUNT } = order;
    const span = { source, target };
    const { source: first, target: end } = this._layers.span;
    if (order.version === this._version && source === first && target === end)
      return sendJsonAnswer(response, 200, {});
    this._sequence++;
    this._starting = true;
    void this._start(weights, order.version, span, wasHeld);
    if (this.faults.lostOrderAnswers) response.destroy();
    else sendJsonAnswer(response, 202, {});
  }

  /**
   * Loads the pieces that are staged now; serves them when the running requests have ended. No agent can rule out that
   * an order which was held is taken after a piece was corrupted: only requests that run on it break a promise.
   */
  private async _start(
    weights: WeightsShape,
    version: number,
    span: LayerSpan,
    wasHeld: boolean,
  ): Promise<void> {
    const isReplaced = version !== this._version;
    const isComplete = this.staged.isComplete(weights, version, CORRUPTION_GRACE_MILLISECONDS);
    if (isReplaced && !isComplete && !wasHeld) this._options.onIncompleteVersion(this.id, version);
    if (isReplaced) this._layers.replace(weights, version, this.staged);
    else this._layers.hold(span, weights, version, this.staged);
    while (this._active > 0) await pause(EVENT_MILLISECONDS);
    await pause(LOAD_MILLISECONDS);
    this._version = version;
    this._starting = false;
  }

  private async _run(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    url: URL,
    body: string,
  ): Promise<void> {
    const { slots, service, onExecution, fraction } = this._options;
    const { headers } = request;
    const id = String(headers['x-attempt-id'] ?? '');
    if (this.coldMilliseconds > 0) this._receivedCold++;
    this._options.onArrival?.({ id, runner: this.id, at: Date.now() });
    const rejection = this._rejectionStatus(headers);
    if (rejection) return this._reject(response, rejection, id);
    if (this._active >= slots) await new Promise<void>((resume) => this._waiting.push(resume));
    if (response.destroyed) return this._waiting.shift()?.();
    this._active++;
    const customer = String(headers['x-tenant'] ?? '');
    const version = this._options.weights ? this._version : 0;
    const harm = harmIn(body, String(headers['x-prefix-hash'] ?? ''));
    const isIntact = this._layers.isIntact;
    const path = url.pathname;
    const execution = { id, runner: this.id, service, customer, path, body, version, isIntact, harm };
    onExecution({ ...execution, at: Date.now() });
    try {
      if (harm !== undefined) return await this._crash(harm, id, response);
      const run = { id, request, response, query: url.searchParams, headers: this._answerHeaders(id) };
      await answerRequest(run, fraction(), { faults: this.faults, fraction, speed: this.streamSpeed });
    } finally {
      this._active--;
      this._waiting.shift()?.();
    }
  }

  /** A part of a prompt crashes the runner within the first event of an answer that ends with its connection. */
  private async _crash(harm: string, id: string, response: http.ServerResponse): Promise<void> {
    if (!harm.startsWith(CRASH_BODY)) {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, { ...ownHeaders(id), connection: 'close' });
      response.write(eventText(id, 1).slice(0, -2));
    }
    await pause(CRASH_DELAY_MILLISECONDS);
    this.close();
    this._options.onCrash?.(this, harm);
  }

  /** Returns the status with which to reject a request; 0 to accept it. */
  private _rejectionStatus(headers: http.IncomingHttpHeaders): number {
    const target = headers['x-target-instance'] ?? this.id;
    const expected = Number(headers['x-expected-version'] ?? this._version);
    if (target !== this.id) return MISDIRECTED_STATUS;
    const isServing = this._version > 0 && this._layers.isWhole && expected === this._version;
    if (this._options.weights && !isServing) return MISDIRECTED_STATUS;
    const isFull = this._active + this._waiting.length >= this._options.slots + MAX_QUEUED;
    const { sheddingShare = 0 } = this.faults;
    const isShed = this.faults.shedding || (sheddingShare > 0 && this._options.fraction() < sheddingShare);
    return this._starting || isFull || isShed ? UNAVAILABLE_STATUS : 0;
  }

  private _reject(response: http.ServerResponse, status: number, id: string): void {
    const own = { 'x-not-executed': '1', 'x-attempt-id': id, 'content-length': 0 };
    response.writeHead(status, { ...own, ...this._signalHeaders(id, status === UNAVAILABLE_STATUS) }).end();
  }

  /** Returns the backpressure headers of an answer, and reports them. */
  private _signalHeaders(id: string, isRejected: boolean): http.OutgoingHttpHeaders {
    const signals = sentSignals(this.faults, { id, runner: this.id }, isRejected, this.coldMilliseconds);
    if (hasSignals(signals)) this._options.onSignals?.(signals);
    return signalHeaders(signals);
  }

  private _answerHeaders(id: string): http.OutgoingHttpHeaders {
    const headers: http.OutgoingHttpHeaders = { ...ownHeaders(id), ...this._signalHeaders(id, false) };
    if (this._options.weights) headers['x-weight-versions'] = String(this._version);
    return headers;
  }
}

interface OrderBody {
  operation: string;
  version: number;
  expected_rev?: number;
  source?: number;
  target_version?: number;
}
