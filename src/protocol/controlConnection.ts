/** An authenticated control connection between two processes of the system. */
import { randomBytes } from 'node:crypto';
import { EventEmitter } from 'node:events';
import net from 'node:net';
import type { z } from 'zod';
import { SharedInterval } from '../utils/sharedInterval.js';
import { StepError, errorText } from '../utils/stepError.js';
import { withTimeout } from '../utils/timers.js';
import { sameMac } from './authentication.js';
import { RoundTripEstimator } from './roundTripEstimator.js';
import { FrameReader, HEARTBEAT_FRAME, encodeFrame } from './frameCodec.js';
import type { Identity } from './handshake.js';
import { PROTOCOL_VERSION, challengeSchema, handshakeMac, helloSchema, welcomeSchema } from './handshake.js';
import type { Message } from './message.js';
import { parseMessage } from './messageParser.js';
import type { ReplyMessage } from './rolloutMessages.js';
import {
  LIVENESS_CHECK_INTERVAL_MILLISECONDS,
  SILENCE_RECHECK_MILLISECONDS,
  silenceTimeout,
} from './livenessTimeouts.js';

/** A message with a `call` number, which its reply repeats. */
export type CallMessage = Extract<Message, { call?: number }>;
type WithoutCall<T> = T extends unknown ? Omit<T, 'call'> : never;

/** What a process needs to open or accept control connections. */
export interface ControlOptions {
  key: string;
  identity: Identity;
  /** Silence after which a peer counts as lost, in milliseconds. Heartbeats are sent more often. */
  peerTimeoutMilliseconds: number;
}

interface ControlEvents {
  message: [Message];
  close: [string];
}

/** Number of heartbeats that an idle connection sends within the silence timeout. */
const HEARTBEATS_PER_TIMEOUT = 2.5;
/**
 * Checks run this much late on an idle machine. Without the allowance, the check before the last one in time found that
 * the next would be too late by a millisecond, and heartbeats came every 600 instead of every 800 ms.
 */
const CHECK_LATENESS_MILLISECONDS = 20;
const livenessChecks = new SharedInterval(LIVENESS_CHECK_INTERVAL_MILLISECONDS);
const RECEIVE_BUFFER_BYTES = 64 * 1024;
/**
 * All connections that this process opens receive into this buffer; what has arrived is copied before the next read. A
 * socket without it allocates 64 KB for each read and passes it through a stream, which costs 0.04 ms for a status.
 */
const receiveBuffer = Buffer.allocUnsafeSlow(RECEIVE_BUFFER_BYTES);
/** Default time to wait for the reply to a call, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 5_000;

/** An open connection to the authenticated `peer`. Emits `message` and, once, `close` with the reason. */
export class ControlConnection extends EventEmitter<ControlEvents> {
  /** Bytes that all connections of this process have sent and received. */
  static totalBytes = 0;
  /** Frames that all connections of this process have sent, including heartbeats. */
  static framesSent = 0;
  /** Frames that all connections of this process have received, without heartbeats. */
  static framesReceived = 0;
  peer!: Identity;
  private readonly _socket: net.Socket;
  private readonly _options: ControlOptions;
  private readonly _reader = new FrameReader();
  private readonly _calls = new Map<number, (replyOrCloseReason: ReplyMessage | string) => void>();
  private _handshake: ((frame: unknown) => void) | undefined;
  private _backlog: unknown[] = [];
  private _opened = false;
  private _started = false;
  private _nextCall = 1;
  private readonly _stopLivenessChecks: () => void;
  private _silenceRecheck: NodeJS.Timeout | undefined;
  private _lastSentAt = 0;
  private _lastReceivedAt = performance.now();
  private _closed = false;
  private readonly _roundTrip = new RoundTripEstimator();

  private constructor(socket: net.Socket, options: ControlOptions) {
    super();
    this._socket = socket;
    this._options = options;
    socket.setNoDelay(true);
    socket.on('error', (error) => this.close(errorText(error)));
    socket.on('close', () => this.close('closed by peer'));
    this._stopLivenessChecks = livenessChecks.add(() => this._checkLiveness(performance.now()));
  }

  /** Connects to a listening peer and authenticates both ends. */
  static async connect(address: string, port: number, options: ControlOptions): Promise<ControlConnection> {
    const peer = `${address}:${port}`;
    const callback = (length: number): boolean => {
      connection._onData(receiveBuffer.subarray(0, length), true);
      return true;
    };
    const onread = { buffer: receiveBuffer, callback };
    const connection = new ControlConnection(net.connect({ host: address, port, onread }), options);
    await connection._openWithTimeout(connection._openAsClient(), peer);
    return connection;
  }

  /** Opens a connection on an accepted socket and authenticates both ends. */
  static async accept(socket: net.Socket, options: ControlOptions): Promise<ControlConnection> {
    const connection = new ControlConnection(socket, options);
    connection._reader.isHandshake = true;
    socket.on('data', (bytes: Buffer) => connection._onData(bytes, false));
    await connection._openWithTimeout(
      connection._openAsServer(),
      `${socket.remoteAddress}:${socket.remotePort}`,
    );
    return connection;
  }

  get closed(): boolean {
    return this._closed;
  }

  /** Milliseconds since anything was received from the peer. Keeps counting after the connection is closed. */
  get silentMilliseconds(): number {
    return performance.now() - this._lastReceivedAt;
  }

  /** Starts to emit messages, beginning with those that have been received already. */
  start(): void {
    this._started = true;
    const backlog = this._backlog;
    this._backlog = [];
    for (const frame of backlog) this._receive(frame);
  }

  /** Sends a message, or drops it when the connection is closed. */
  send(message: Message): void {
    this._write(message);
  }

  /** Encodes a message once and sends it on several connections. */
  static broadcast(connections: Iterable<ControlConnection>, message: Message): void {
    const frame = encodeFrame(message);
    for (const connection of connections) if (!connection._closed) connection._writeFrame(frame);
  }

  /** Sends a message and waits for its reply. Rejects when the connection closes or the call times out. */
  async call(
    message: WithoutCall<CallMessage>,
    timeoutMilliseconds = CALL_TIMEOUT_MILLISECONDS,
  ): Promise<ReplyMessage> {
    if (this._closed)
      throw new StepError(`control.${message.type}`, 'connection closed', { peer: this.peer.box });
    const call = this._nextCall++;
    const reply = new Promise<ReplyMessage>((resolve, reject) => {
      this._calls.set(call, (end) =>
        typeof end === 'string' ? reject(this._callError(message.type, end)) : resolve(end),
      );
    });
    try {
      this._write({ ...message, call });
      return await withTimeout(reply, timeoutMilliseconds, () =>
        this._callError(message.type, 'no answer in time'),
      );
    } finally {
      this._calls.delete(call);
    }
  }

  /** Replies to a message that has a `call` number. */
  reply(call: number, reply: Omit<ReplyMessage, 'type' | 'call'>): void {
    this._write({ type: 'reply', call, ...reply });
  }

  /** Sends a probe that measures the round trip: on a slow link messages can be queued for seconds. */
  probe(): void {
    if (this._roundTrip.isAtProbeLimit) return;
    this._write({ type: 'link-probe', number: this._roundTrip.recordProbe(performance.now()) });
  }

  /** Lower bound of the current round-trip time, in milliseconds; 0 while no probe has been answered. */
  get delayMilliseconds(): number {
    return this._roundTrip.estimateMilliseconds(performance.now());
  }

  /** Closes the connection immediately; messages that are still buffered may be lost. */
  close(reason: string): void {
    if (this._closed) return;
    this._closed = true;
    clearTimeout(this._silenceRecheck);
    this._stopLivenessChecks();
    this._socket.destroy();
    for (const end of this._calls.values()) end(reason);
    this.emit('close', reason);
  }

  private _callError(type: string, reason: string): StepError {
    return new StepError(`control.${type}`, reason, { peer: this.peer?.box });
  }

  private async _openWithTimeout(opening: Promise<void>, peer: string): Promise<void> {
    const timeout = this._options.peerTimeoutMilliseconds;
    this.setMaxListeners(0);
    try {
      await withTimeout(opening, timeout, () => new StepError('control.open', 'no answer in time', { peer }));
    } catch (error) {
      this.close(errorText(error));
      throw error;
    }
    this._opened = true;
  }

  private async _openAsServer(): Promise<void> {
    const nonce = randomBytes(16).toString('hex');
    this._write({ type: 'challenge', nonce });
    const hello = await this._nextHandshakeFrame(helloSchema);
    const expected = handshakeMac(this._options.key, nonce, hello.identity);
    if (hello.protocol !== PROTOCOL_VERSION)
      throw new StepError('control.open', `unsupported protocol version ${hello.protocol}`);
    if (!sameMac(hello.mac, expected))
      throw new StepError('control.open', 'wrong shared key', { peer: hello.identity.box });
    this.peer = hello.identity;
    this._reader.isHandshake = false;
    const { identity, key } = this._options;
    this._write({ type: 'welcome', identity, mac: handshakeMac(key, hello.nonce, identity) });
  }

  private async _openAsClient(): Promise<void> {
    const { identity, key } = this._options;
    const challenge = await this._nextHandshakeFrame(challengeSchema);
    const nonce = randomBytes(16).toString('hex');
    const mac = handshakeMac(key, challenge.nonce, identity);
    this._write({ type: 'hello', protocol: PROTOCOL_VERSION, identity, nonce, mac });
    const welcome = await this._nextHandshakeFrame(welcomeSchema);
    const expected = handshakeMac(key, nonce, welcome.identity);
    if (!sameMac(welcome.mac, expected))
      throw new StepError('control.open', 'wrong shared key', { peer: welcome.identity.box });
    this.peer = welcome.identity;
  }

  private async _nextHandshakeFrame<T>(schema: z.ZodType<T>): Promise<T> {
    const frame = this._backlog.shift() ?? (await this._awaitHandshakeFrame());
    const parsed = schema.safeParse(frame);
    if (!parsed.success) throw new StepError('control.open', 'unexpected handshake frame');
    return parsed.data;
  }

  private async _awaitHandshakeFrame(): Promise<unknown> {
    return await new Promise<unknown>((resolve, reject) => {
      this._handshake = resolve;
      this.once('close', (reason) => reject(new StepError('control.open', reason)));
    });
  }

  private _onData(bytes: Buffer, isReused: boolean): void {
    ControlConnection.totalBytes += bytes.length;
    this._lastReceivedAt = performance.now();
    try {
      for (const frame of this._reader.push(bytes, isReused)) this._onFrame(frame);
    } catch (error) {
      this.close(errorText(error));
    }
  }

  private _onFrame(frame: unknown): void {
    ControlConnection.framesReceived++;
    const handshake = this._handshake;
    this._handshake = undefined;
    if (handshake) handshake(frame);
    else if (this._started) this._receive(frame);
    else this._backlog.push(frame);
  }

  private _receive(frame: unknown): void {
    const message = parseMessage(frame);
    if (message) this._dispatch(message);
  }

  private _dispatch(message: Message): void {
    if (message.type === 'reply') this._calls.get(message.call)?.(message);
    else if (message.type === 'link-probe') this._write({ type: 'link-echo', number: message.number });
    else if (message.type === 'link-echo') this._roundTrip.recordEcho(message.number, performance.now());
    else this.emit('message', message);
  }

  /** Silence after which the peer counts as lost, in milliseconds. */
  private get _silenceTimeout(): number {
    const { identity, peerTimeoutMilliseconds } = this._options;
    if (!this._opened) return peerTimeoutMilliseconds;
    return silenceTimeout(identity.role, this.peer.role, peerTimeoutMilliseconds);
  }

  /** Checks for a silent peer, and sends a heartbeat if nothing else has been sent for a while. */
  private _checkLiveness(now: number): void {
    const timeout = this._silenceTimeout;
    if (now - this._lastReceivedAt > timeout) this._onSilence();
    const nextCheckAt = now + LIVENESS_CHECK_INTERVAL_MILLISECONDS;
    const interval = timeout / HEARTBEATS_PER_TIMEOUT + CHECK_LATENESS_MILLISECONDS;
    const isDue = nextCheckAt - this._lastSentAt > interval;
    if (this._opened && isDue) this._writeFrame(HEARTBEAT_FRAME);
  }

  /** If this process was paused, data from the peer may be waiting unread, so checks once more before closing. */
  private _onSilence(): void {
    const lastReceivedAt = this._lastReceivedAt;
    this._silenceRecheck ??= setTimeout(() => {
      this._silenceRecheck = undefined;
      if (this._lastReceivedAt === lastReceivedAt) this.close('silent for too long');
    }, SILENCE_RECHECK_MILLISECONDS);
  }

  private _write(message: unknown): void {
    if (!this._closed) this._writeFrame(encodeFrame(message));
  }

  private _writeFrame(frame: Buffer): void {
    ControlConnection.totalBytes += frame.length;
    ControlConnection.framesSent++;
    this._lastSentAt = performance.now();
    this._socket.write(frame);
  }
}
